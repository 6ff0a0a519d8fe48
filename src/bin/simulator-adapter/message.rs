//! Messages of the simulator and their parsing from lines.

use connection_balancer::{
    CellId, EndpointEntry, EndpointState, GroupId, LoadReport, Measurement, Outcome, ServerId, Time, ZoneId,
};

use crate::configuration::{self, InstanceConfig};
use crate::line::{Line, MalformedField};
use crate::values::{parse_decimal, parse_duration, parse_flag, parse_number, parse_outcome, parse_time};
use crate::wire::{endpoint_state, field, message, sync_scope, topic, NO_TENANT, REPORTED_CONNECTIONS};

/// Number of endpoint sets. They are numbered from 0.
pub(crate) const MAX_ENDPOINT_SETS: usize = 16;

/// A message. Names of zones, classes, tenants and requests are resolved by the instance that receives the
/// message.
pub(crate) enum Message<'a> {
    /// A frame of messages starts at this simulated time.
    FrameStarted(Time),
    /// The frame ends. The simulator waits for the reply.
    FrameEnded,
    /// Selects the instance that the following messages are for.
    InstanceSelected(u32),
    /// The selected instance starts.
    InstanceStarted { seed: u64, config: Box<InstanceConfig> },
    /// The selected instance is killed.
    InstanceKilled,
    /// Empties an endpoint set. Its new entries follow.
    EndpointSetStarted { set: usize },
    /// An entry of the endpoint set that was started last.
    EndpointSetEntry(UnresolvedEntry),
    /// An event for the balancer of the selected instance.
    InstanceEvent(InstanceEvent<'a>),
    /// A message that the adapter ignores.
    Unknown,
}

/// An event for the balancer of an instance.
pub(crate) enum InstanceEvent<'a> {
    /// Endpoints were received, or could not be retrieved.
    EndpointsSynced(EndpointSync),
    /// A request arrived, or a connection was established before the instance started.
    RequestArrived(RequestArrival<'a>),
    /// The state of a request changed.
    RequestProgressed { request: &'a str, progress: RequestProgress },
    /// The timer fired.
    TimerFired,
    /// A probe completed.
    ProbeCompleted { server: ServerId, outcome: Outcome, report: &'a str },
}

/// An update of the endpoint list of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndpointSync {
    /// The set is the whole list.
    Snapshot { set: usize },
    /// The set holds only changed entries.
    Changes { set: usize },
    /// The list is unavailable.
    Failed,
}

/// An entry of an endpoint set whose zone name has not been resolved to a [`ZoneId`]. The zone in `entry` is
/// not set.
pub(crate) struct UnresolvedEntry {
    pub zone: String,
    pub entry: EndpointEntry,
}

/// A new request, or a connection that was established before the instance started.
pub(crate) struct RequestArrival<'a> {
    pub request: &'a str,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub group: Option<GroupId>,
    pub load: Option<f64>,
    /// Time at which the client gives up. `None` for a connection established before the start.
    pub deadline: Option<Time>,
    /// Server of a connection established before the start. `None` for a new request.
    pub server: Option<ServerId>,
}

/// A change of the state of a request.
pub(crate) enum RequestProgress {
    /// An attempt established the connection.
    Established { attempt: u32 },
    /// The connection was measured. `None` if the topic of the measurement is unknown.
    Measured(Option<Measurement>),
    /// An attempt ended.
    AttemptEnded { attempt: u32, outcome: Outcome, answered: bool },
    /// The client left.
    ClientLeft,
}

/// Parses a message from a line.
///
/// # Errors
///
/// If a field is missing or unreadable.
pub(crate) fn parse<'a>(line: &Line<'a>) -> Result<Message<'a>, MalformedField> {
    Ok(match line.message {
        message::FRAME_STARTED => Message::FrameStarted(line.required(field::TIME, parse_time)?),
        message::FRAME_ENDED => Message::FrameEnded,
        message::INSTANCE_SELECTED => {
            Message::InstanceSelected(line.required(field::INSTANCE, parse_number)?)
        }
        message::INSTANCE_STARTED => Message::InstanceStarted {
            seed: line.required(field::SEED, parse_number)?,
            config: Box::new(configuration::parse(line)?),
        },
        message::INSTANCE_KILLED => Message::InstanceKilled,
        message::ENDPOINT_SET_STARTED => Message::EndpointSetStarted { set: parse_set(line)? },
        message::ENDPOINT_SET_ENTRY => Message::EndpointSetEntry(parse_entry(line)?),
        _ => match parse_instance_event(line)? {
            Some(event) => Message::InstanceEvent(event),
            None => Message::Unknown,
        },
    })
}

fn parse_instance_event<'a>(line: &Line<'a>) -> Result<Option<InstanceEvent<'a>>, MalformedField> {
    Ok(Some(match line.message {
        message::ENDPOINTS_SYNCED => InstanceEvent::EndpointsSynced(parse_sync(line)?),
        message::REQUEST_ARRIVED | message::CONNECTION_RESTORED => {
            InstanceEvent::RequestArrived(parse_arrival(line)?)
        }
        message::CONNECTION_ESTABLISHED
        | message::CONNECTION_MEASURED
        | message::ATTEMPT_ENDED
        | message::CLIENT_LEFT => {
            let progress = parse_progress(line)?;
            InstanceEvent::RequestProgressed { request: line.required(field::REQUEST, Some)?, progress }
        }
        message::TIMER_FIRED => InstanceEvent::TimerFired,
        message::PROBE_COMPLETED => InstanceEvent::ProbeCompleted {
            server: line.required(field::SERVER, parse_number).map(ServerId)?,
            outcome: line.required(field::OUTCOME, parse_outcome)?,
            report: line.text(field::LOAD_REPORT).unwrap_or(""),
        },
        _ => return Ok(None),
    }))
}

fn parse_set(line: &Line<'_>) -> Result<usize, MalformedField> {
    line.required(field::ENDPOINT_SET, |value| {
        parse_number(value).filter(|&set: &usize| set < MAX_ENDPOINT_SETS)
    })
}

fn parse_sync(line: &Line<'_>) -> Result<EndpointSync, MalformedField> {
    Ok(match line.required(field::SYNC_SCOPE, Some)? {
        sync_scope::SNAPSHOT | sync_scope::FORCED_SNAPSHOT => {
            EndpointSync::Snapshot { set: parse_set(line)? }
        }
        sync_scope::CHANGES => EndpointSync::Changes { set: parse_set(line)? },
        sync_scope::FAILED => EndpointSync::Failed,
        _ => return Err(line.malformed(field::SYNC_SCOPE)),
    })
}

fn parse_entry(line: &Line<'_>) -> Result<UnresolvedEntry, MalformedField> {
    Ok(UnresolvedEntry {
        zone: line.text(field::ZONE).unwrap_or("").to_owned(),
        entry: EndpointEntry {
            server: line.required(field::SERVER, parse_number).map(ServerId)?,
            zone: ZoneId(0),
            cell: CellId(line.optional(field::CELL, parse_number)?.unwrap_or(0)),
            state: line.required(field::ENDPOINT_STATE, parse_state)?,
            started_at: line.optional(field::STARTED, parse_time)?.filter(|&at| at > Time(0)),
            weight: line.optional(field::WEIGHT, parse_decimal)?.unwrap_or(0.0),
        },
    })
}

fn parse_state(text: &str) -> Option<EndpointState> {
    match text {
        endpoint_state::SERVING => Some(EndpointState::Serving),
        endpoint_state::DRAINING => Some(EndpointState::Draining),
        endpoint_state::GONE => Some(EndpointState::Gone),
        _ => None,
    }
}

fn parse_arrival<'a>(line: &Line<'a>) -> Result<RequestArrival<'a>, MalformedField> {
    let is_restored = line.message == message::CONNECTION_RESTORED;
    Ok(RequestArrival {
        request: line.required(field::REQUEST, Some)?,
        class: line.required(field::CLASS, Some)?,
        tenant: line.text(field::TENANT).filter(|&tenant| tenant != NO_TENANT),
        group: line.optional(field::GROUP, parse_number)?.map(GroupId),
        load: line.optional(field::EXPECTED_LOAD, parse_decimal)?,
        deadline: if is_restored { None } else { Some(line.required(field::DEADLINE, parse_time)?) },
        server: if is_restored {
            Some(line.required(field::SERVER, parse_number).map(ServerId)?)
        } else {
            None
        },
    })
}

fn parse_progress(line: &Line<'_>) -> Result<RequestProgress, MalformedField> {
    Ok(match line.message {
        message::CONNECTION_ESTABLISHED => {
            RequestProgress::Established { attempt: line.required(field::ATTEMPT, parse_number)? }
        }
        message::CONNECTION_MEASURED => RequestProgress::Measured(parse_measurement(line)?),
        message::ATTEMPT_ENDED => RequestProgress::AttemptEnded {
            attempt: line.required(field::ATTEMPT, parse_number)?,
            outcome: line.required(field::OUTCOME, parse_outcome)?,
            answered: line.optional(field::ANSWERED, parse_flag)?.unwrap_or(false),
        },
        _ => RequestProgress::ClientLeft,
    })
}

/// Parses a measurement. Returns `None` if its topic is unknown.
fn parse_measurement(line: &Line<'_>) -> Result<Option<Measurement>, MalformedField> {
    Ok(match line.required(field::MEASUREMENT_TOPIC, parse_number::<u32>)? {
        topic::LOAD => Some(Measurement::Load(line.required(field::MEASUREMENT_AMOUNT, parse_decimal)?)),
        topic::MESSAGE_TIME => {
            Some(Measurement::MessageTime(line.required(field::MEASUREMENT_AMOUNT, parse_duration)?))
        }
        _ => None,
    })
}

/// Parses a load report. The utilisation is the value of the first of `utilisation_fields` that the report
/// has with a valid number. Returns `None` if it has none of them.
pub(crate) fn parse_load_report(text: &str, utilisation_fields: &[&str]) -> Option<LoadReport> {
    let value = |name: &str| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once(':'));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| parse_decimal(value))
    };
    let utilisation = utilisation_fields.iter().find_map(|name| value(name))?;
    Some(LoadReport { utilisation, connections: value(REPORTED_CONNECTIONS) })
}
