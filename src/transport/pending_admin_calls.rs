//! Calls of admin clients that wait for the reducer's replies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;

use super::id_sequence::IdSequence;
use super::reducer::ReducerHandle;
use crate::routing::{AdminClientId, AdminRejection, AdminResponse, Input};

/// The calls that have no reply yet. Clones are handles of the same calls.
#[derive(Clone)]
pub(super) struct PendingAdminCalls {
    ids: IdSequence,
    /// Where each client waits. [`MAX_ADMIN_CLIENTS`](crate::program::config::MAX_ADMIN_CLIENTS) limits how many there are.
    waiting: Rc<RefCell<HashMap<AdminClientId, oneshot::Sender<AdminResponse>>>>,
}

impl PendingAdminCalls {
    /// No calls. Clients are numbered by a sequence.
    pub(super) fn new(ids: IdSequence) -> PendingAdminCalls {
        PendingAdminCalls { ids, waiting: Rc::default() }
    }

    /// Feeds a client's call to the reducer, and waits for the reply.
    pub(super) async fn call(
        &self,
        reducer: &ReducerHandle,
        input: impl FnOnce(AdminClientId) -> Input,
    ) -> AdminResponse {
        let admin_client = AdminClientId(self.ids.next());
        let (sender, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(admin_client, sender);
        reducer.feed(input(admin_client));
        reply.await.unwrap_or(AdminResponse::No(AdminRejection::NoReply))
    }

    /// Passes the reducer's reply on to the client that waits for it.
    pub(super) fn reply(&self, admin_client: AdminClientId, reply: AdminResponse) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&admin_client) {
            // A client that has gone needs no reply.
            let _ = waiting.send(reply);
        }
    }
}
