//! The simulator's messages, and how they are parsed from lines.

use connection_balancer::{
    CellId, EndpointEntry, EndpointState, GroupId, LoadReport, Measurement, Outcome, ServerId, Time, ZoneId,
};

use crate::configuration::{self, InstanceConfig};
use crate::line::{Line, MalformedField};
use crate::values::{parse_decimal, parse_flag, parse_number, parse_outcome, parse_span, parse_time};

/// Endpoint sets are numbered from 0 to one less than this.
pub(crate) const MAX_ENDPOINT_SETS: usize = 16;
/// The field with the number of an attempt, in messages and replies.
pub(crate) const ATTEMPT_FIELD: &str = "leg";
/// The message of a connection that was open before the start.
const INHERITED: &str = "INHERITED";
/// The tenant of requests without one.
const NO_TENANT: &str = "0";
/// The topics of measurements.
const TOPIC_LOAD: u32 = 1;
const TOPIC_MESSAGE_TIME: u32 = 2;

/// A message. Names of zones, classes, tenants and requests are resolved by the instance that it is for.
pub(crate) enum Message<'a> {
    /// A frame of messages starts at this time.
    FrameStarted(Time),
    /// It ends: the reply is due.
    FrameEnded,
    /// The messages that follow are for this instance.
    InstanceSelected(u32),
    /// The instance starts.
    InstanceStarted { seed: u64, config: Box<InstanceConfig> },
    /// The instance is killed.
    InstanceKilled,
    /// An endpoint set is replaced by the entries that follow.
    EndpointSetStarted { set: usize },
    /// An entry of it.
    EndpointSetEntry(ZonedEntry),
    /// Something happens to the instance.
    InstanceEvent(InstanceEvent<'a>),
    /// Nothing that this adapter uses.
    Unknown,
}

/// Something that an instance's balancer is notified of.
pub(crate) enum InstanceEvent<'a> {
    /// Endpoints are received, or cannot be had.
    EndpointsSynced(EndpointSync),
    /// A request arrives, or a connection is open at the start.
    RequestArrived(RequestArrival<'a>),
    /// Something happens to a request.
    RequestProgressed { request: &'a str, progress: RequestProgress },
    /// The timer has fired.
    TimerFired,
    /// A probe has ended.
    ProbeCompleted { server: ServerId, outcome: Outcome, report: &'a str },
}

/// What an instance receives of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndpointSync {
    /// This set is the whole list.
    Whole { set: usize },
    /// This set holds the changed entries.
    Changes { set: usize },
    /// The list cannot be had.
    Failed,
}

/// An endpoint whose zone is still a name.
pub(crate) struct ZonedEntry {
    pub zone: String,
    pub entry: EndpointEntry,
}

/// A request as it arrives.
pub(crate) struct RequestArrival<'a> {
    pub request: &'a str,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub group: Option<GroupId>,
    pub load: Option<f64>,
    /// None for a connection that is open at the start.
    pub deadline: Option<Time>,
    /// The server of a connection that is open at the start.
    pub server: Option<ServerId>,
}

/// What happens to a request.
pub(crate) enum RequestProgress {
    /// An attempt has established the connection.
    Established { attempt: u32 },
    /// A measurement; none if its topic is unknown.
    Measured(Option<Measurement>),
    /// An attempt has ended.
    AttemptEnded { attempt: u32, outcome: Outcome, answered: bool },
    /// The client has left.
    ClientLeft,
}

/// Parses one line.
///
/// # Errors
///
/// If a field is missing or unreadable.
pub(crate) fn parse<'a>(line: &Line<'a>) -> Result<Message<'a>, MalformedField> {
    Ok(match line.message {
        "FRAME" => Message::FrameStarted(line.required("t", parse_time)?),
        "OVER_TO_YOU" => Message::FrameEnded,
        "TARGET_INSTANCE" => Message::InstanceSelected(line.required("i", parse_number)?),
        "HELLO" => Message::InstanceStarted {
            seed: line.required("prng", parse_number)?,
            config: Box::new(configuration::parse(line)?),
        },
        "KILL" => Message::InstanceKilled,
        "TABLE" => Message::EndpointSetStarted { set: parse_set(line)? },
        "ITEM" => Message::EndpointSetEntry(parse_entry(line)?),
        _ => match parse_instance_event(line)? {
            Some(event) => Message::InstanceEvent(event),
            None => Message::Unknown,
        },
    })
}

fn parse_instance_event<'a>(line: &Line<'a>) -> Result<Option<InstanceEvent<'a>>, MalformedField> {
    Ok(Some(match line.message {
        "SYNC" => InstanceEvent::EndpointsSynced(parse_sync(line)?),
        "INGRESS" | INHERITED => InstanceEvent::RequestArrived(parse_arrival(line)?),
        "ACK_FIRST" | "INTERIM" | "RESULT" | "ABORTED" => {
            let progress = parse_progress(line)?;
            InstanceEvent::RequestProgressed { request: line.required("xid", Some)?, progress }
        }
        "TICK_DUE" => InstanceEvent::TimerFired,
        "PONG" => InstanceEvent::ProbeCompleted {
            server: line.required("backend", parse_number).map(ServerId)?,
            outcome: line.required("ending", parse_outcome)?,
            report: line.text("feedback").unwrap_or(""),
        },
        _ => return Ok(None),
    }))
}

fn parse_set(line: &Line<'_>) -> Result<usize, MalformedField> {
    line.required("set-id", |value| parse_number(value).filter(|&set: &usize| set < MAX_ENDPOINT_SETS))
}

fn parse_sync(line: &Line<'_>) -> Result<EndpointSync, MalformedField> {
    Ok(match line.required("scope", Some)? {
        "C" | "F" => EndpointSync::Whole { set: parse_set(line)? },
        "D" => EndpointSync::Changes { set: parse_set(line)? },
        "X" => EndpointSync::Failed,
        _ => return Err(line.malformed("scope")),
    })
}

fn parse_entry(line: &Line<'_>) -> Result<ZonedEntry, MalformedField> {
    Ok(ZonedEntry {
        zone: line.text("site").unwrap_or("").to_owned(),
        entry: EndpointEntry {
            server: line.required("backend", parse_number).map(ServerId)?,
            zone: ZoneId(0),
            cell: CellId(line.optional("cell", parse_number)?.unwrap_or(0)),
            state: line.required("mode", parse_state)?,
            started: line.optional("launched", parse_time)?.filter(|&at| at > Time(0)),
            weight: line.optional("units", parse_decimal)?.unwrap_or(0.0),
        },
    })
}

fn parse_state(text: &str) -> Option<EndpointState> {
    match text {
        "in_service" => Some(EndpointState::Serving),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Gone),
        _ => None,
    }
}

fn parse_arrival<'a>(line: &Line<'a>) -> Result<RequestArrival<'a>, MalformedField> {
    let inherited = line.message == INHERITED;
    Ok(RequestArrival {
        request: line.required("xid", Some)?,
        class: line.required("service", Some)?,
        tenant: line.text("owner").filter(|&owner| owner != NO_TENANT),
        group: line.optional("channel", parse_number)?.map(GroupId),
        load: line.optional("hint", parse_decimal)?,
        deadline: if inherited { None } else { Some(line.required("give-up-at", parse_time)?) },
        server: if inherited { Some(line.required("backend", parse_number).map(ServerId)?) } else { None },
    })
}

fn parse_progress(line: &Line<'_>) -> Result<RequestProgress, MalformedField> {
    Ok(match line.message {
        "ACK_FIRST" => RequestProgress::Established { attempt: line.required(ATTEMPT_FIELD, parse_number)? },
        "INTERIM" => RequestProgress::Measured(parse_measurement(line)?),
        "RESULT" => RequestProgress::AttemptEnded {
            attempt: line.required(ATTEMPT_FIELD, parse_number)?,
            outcome: line.required("ending", parse_outcome)?,
            answered: line.optional("last", parse_flag)?.unwrap_or(false),
        },
        _ => RequestProgress::ClientLeft,
    })
}

/// A measurement; none if its topic is unknown.
fn parse_measurement(line: &Line<'_>) -> Result<Option<Measurement>, MalformedField> {
    Ok(match line.required("topic", parse_number::<u32>)? {
        TOPIC_LOAD => Some(Measurement::Load(line.required("amount", parse_decimal)?)),
        TOPIC_MESSAGE_TIME => Some(Measurement::MessageTime(line.required("amount", parse_span)?)),
        _ => None,
    })
}

/// A load report, if it holds the utilisation under the first known of `utilisation_fields`.
pub(crate) fn parse_load_report(text: &str, utilisation_fields: &[&str]) -> Option<LoadReport> {
    let value = |name: &str| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once(':'));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| parse_decimal(value))
    };
    let utilisation = utilisation_fields.iter().find_map(|name| value(name))?;
    Some(LoadReport { utilisation, connections: value("outstanding") })
}
