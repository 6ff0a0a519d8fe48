//! Passes the messages of a frame to the instances of this process and collects their actions in the reply.

use std::collections::BTreeMap;

use connection_balancer::{Action, Time};

use crate::instance::Instance;
use crate::message::{InstanceEvent, Message, UnresolvedEntry, MAX_ENDPOINT_SETS};
use crate::reply;

/// State of the adapter: the instances, the endpoint sets, and the position in the current frame.
#[derive(Default)]
pub(crate) struct Adapter {
    /// Simulated time of the current frame.
    now: Time,
    instances: BTreeMap<u32, Instance>,
    /// Instance that messages are for.
    selected: u32,
    endpoint_sets: [Vec<UnresolvedEntry>; MAX_ENDPOINT_SETS],
    /// Index of the endpoint set that entries are added to.
    current_set: usize,
    /// Actions of the current event. Empty between events.
    actions: Vec<Action>,
    /// Instance whose actions were printed last in this reply.
    printed_instance: Option<u32>,
}

impl Adapter {
    /// Handles a message and appends the resulting lines to the reply.
    pub(crate) fn handle_message(&mut self, message: Message<'_>, reply: &mut Vec<u8>) {
        match message {
            Message::FrameStarted(now) => self.now = now,
            Message::FrameEnded => {
                self.printed_instance = None;
                reply::print_end(reply);
            }
            Message::InstanceSelected(instance) => self.selected = instance,
            Message::InstanceStarted { seed, config } => {
                self.instances.insert(self.selected, Instance::start(self.now, *config, seed));
            }
            Message::InstanceKilled => {
                self.instances.remove(&self.selected);
            }
            Message::EndpointSetStarted { set } => {
                self.endpoint_sets[set].clear();
                self.current_set = set;
            }
            Message::EndpointSetEntry(entry) => self.endpoint_sets[self.current_set].push(entry),
            Message::InstanceEvent(event) => self.handle_event(event, reply),
            Message::Unknown => {}
        }
    }

    /// Passes an event to the selected instance and prints its actions.
    fn handle_event(&mut self, event: InstanceEvent<'_>, reply: &mut Vec<u8>) {
        let Some(instance) = self.instances.get_mut(&self.selected) else { return };
        let request = instance.handle_event(self.now, event, &self.endpoint_sets, &mut self.actions);
        if self.printed_instance != Some(self.selected) && !self.actions.is_empty() {
            self.printed_instance = Some(self.selected);
            reply::print_instance(reply, self.selected);
        }
        for action in &self.actions {
            reply::print_action(reply, action, |request| instance.request_name(request));
        }
        for action in self.actions.drain(..) {
            if let Action::Reject { request, .. } | Action::Fail { request, .. } = action {
                instance.remove_if_untracked(request);
            }
        }
        if let Some(request) = request {
            instance.remove_if_untracked(request);
        }
    }
}
