//! Hosts balancers for the simulator: reads batches of events, prints their actions. Decides nothing.
#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use connection_balancer::*;
use rustc_hash::FxHashMap;
use wire::{Config, Line, Message, Scoped, What};

/// One balancer with what its events need to be put in the module's terms.
struct Instance {
    balancer: Balancer,
    config: Config,
    ids: FxHashMap<Rc<str>, RequestId>,
    words: FxHashMap<RequestId, Rc<str>>,
    next: u64,
}

impl Instance {
    fn number(&mut self, word: &str) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let word: Rc<str> = word.into();
        self.ids.insert(word.clone(), id);
        self.words.insert(id, word);
        id
    }

    /// Drops the word of a request that the balancer keeps no more.
    fn forget(&mut self, id: RequestId) {
        if !self.balancer.is_tracked(id) {
            if let Some(word) = self.words.remove(&id) {
                self.ids.remove(&word);
            }
        }
    }
}

/// An entry of a numbered list; the zone stays a name until an instance is told the list.
struct Row {
    zone: String,
    listed: EndpointEntry,
}

#[derive(Default)]
struct Host {
    now: Time,
    instances: BTreeMap<u32, Instance>,
    current: u32,
    tables: [Vec<Row>; wire::SETS],
    filling: usize,
    actions: Vec<Action>,
    /// The instance that the reply speaks for so far.
    speaker: Option<u32>,
}

impl Host {
    fn take(&mut self, message: Message<'_>, out: &mut Vec<u8>) {
        match message {
            Message::Open(now) => self.now = now,
            Message::Close => {
                self.speaker = None;
                wire::print_end(out);
            }
            Message::For(instance) => self.current = instance,
            Message::Hello { seed, config } => {
                let balancer = Balancer::new(config.settings.clone(), seed, self.now);
                let (ids, words) = Default::default();
                let instance = Instance { balancer, config: *config, ids, words, next: 0 };
                self.instances.insert(self.current, instance);
            }
            Message::Kill => {
                self.instances.remove(&self.current);
            }
            Message::Table { set } => {
                self.tables[set].clear();
                self.filling = set;
            }
            Message::Item(item) => {
                self.tables[self.filling].push(Row { zone: item.zone.to_owned(), listed: item.listed })
            }
            Message::Other => {}
            event => self.pass_on(event, out),
        }
    }

    /// Hands an event to the current instance and prints what it does about it.
    fn pass_on(&mut self, message: Message<'_>, out: &mut Vec<u8>) {
        let Some(instance) = self.instances.get_mut(&self.current) else { return };
        let (now, actions) = (self.now, &mut self.actions);
        let mut about = None;
        match message {
            Message::Sync { scope: Scoped::Failed, .. } => {
                instance.balancer.handle(now, Event::EndpointWatchFailed, actions)
            }
            Message::Sync { set, scope } => {
                let zones = &instance.config.zones;
                let zone = |name: &str| zones.iter().position(|z| z == name).unwrap_or(usize::MAX);
                let rows = self.tables[set].iter();
                let list: Vec<EndpointEntry> = rows
                    .map(|row| EndpointEntry { zone: ZoneId(zone(&row.zone) as u16), ..row.listed })
                    .collect();
                let event = if scope == Scoped::Whole {
                    Event::EndpointsReplaced(&list)
                } else {
                    Event::EndpointsChanged(&list)
                };
                instance.balancer.handle(now, event, actions);
            }
            Message::Request(arrival) => {
                let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
                let class = index(&instance.config.classes, arrival.class).unwrap_or(usize::MAX);
                let class = ClassId(class as u16);
                let tenant = arrival.tenant.and_then(|name| index(&instance.config.tenants, name));
                let tenant = tenant.map(|i| TenantId(i as u16));
                let request = instance.number(arrival.request);
                about = Some(request);
                let (group, load) = (arrival.group, arrival.load);
                let event = match arrival.server {
                    Some(server) => Event::ConnectionRestored { request, class, tenant, group, load, server },
                    None => {
                        let deadline = arrival.deadline.unwrap_or(now);
                        Event::RequestArrived { request, class, tenant, group, load, deadline }
                    }
                };
                instance.balancer.handle(now, event, actions);
            }
            Message::About { request, what } => {
                let Some(&request) = instance.ids.get(request) else { return };
                about = Some(request);
                let event = match what {
                    What::Started { attempt } => Event::ConnectionEstablished { request, attempt },
                    What::Noted(Some(measurement)) => Event::ConnectionMeasured { request, measurement },
                    What::Noted(None) => return,
                    What::Ended { attempt, outcome, answered } => {
                        Event::AttemptEnded { request, attempt, outcome, answered }
                    }
                    What::Left => Event::ClientLeft { request },
                };
                instance.balancer.handle(now, event, actions);
            }
            Message::Due => instance.balancer.handle(now, Event::TimerFired, actions),
            Message::Probed { server, outcome, report } => {
                let report = wire::report(report, &instance.config.utilisation);
                instance.balancer.handle(now, Event::ProbeCompleted { server, outcome, report }, actions);
            }
            _ => {}
        }
        if self.speaker != Some(self.current) && !self.actions.is_empty() {
            self.speaker = Some(self.current);
            wire::print_speaker(out, self.current);
        }
        for action in &self.actions {
            wire::print(out, action, |id| instance.words.get(&id).map_or("", |word| word));
        }
        for action in self.actions.drain(..) {
            if let Action::Reject { request, .. } | Action::Fail { request } = action {
                instance.forget(request);
            }
        }
        if let Some(request) = about {
            instance.forget(request);
        }
    }
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let (mut text, mut reply) = (String::new(), Vec::new());
    for number in 1u64.. {
        text.clear();
        if input.read_line(&mut text).map_err(|e| format!("line {number}: {e}"))? == 0 {
            break;
        }
        let line = Line::cut(text.trim_end_matches(['\n', '\r']));
        let message = wire::read(&line).map_err(|e| format!("line {number}: {e}"))?;
        let reply_due = matches!(message, Message::Close);
        host.take(message, &mut reply);
        if reply_due {
            output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("reply: {e}"))?;
            reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
