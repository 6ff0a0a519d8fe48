//! Calls of admin clients that are waiting for replies of the reducer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;

use super::id_sequence::IdSequence;
use super::reducer::ReducerHandle;
use crate::routing::{AdminCallId, AdminRejection, AdminResponse, Input};

/// The calls that have no reply yet. Clones refer to the same calls.
#[derive(Clone)]
pub(super) struct PendingAdminCalls {
    ids: IdSequence,
    /// Channels to the waiting clients. There are at most
    /// [`MAX_ADMIN_CLIENTS`](crate::program::config::MAX_ADMIN_CLIENTS) of them.
    waiting: Rc<RefCell<HashMap<AdminCallId, oneshot::Sender<AdminResponse>>>>,
}

impl PendingAdminCalls {
    /// Creates an empty set of calls. Calls get their ids from `ids`.
    pub(super) fn new(ids: IdSequence) -> PendingAdminCalls {
        PendingAdminCalls { ids, waiting: Rc::default() }
    }

    /// Feeds a client's call to the reducer and waits for the reply. Returns
    /// [`AdminRejection::NoReply`] if the channel of the reply is dropped.
    pub(super) async fn call(
        &self,
        reducer: &ReducerHandle,
        input: impl FnOnce(AdminCallId) -> Input,
    ) -> AdminResponse {
        let admin_call = AdminCallId(self.ids.next());
        let (sender, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(admin_call, sender);
        reducer.feed(input(admin_call));
        reply.await.unwrap_or(AdminResponse::No(AdminRejection::NoReply))
    }

    /// Passes the reducer's reply to the client that is waiting for it.
    pub(super) fn reply(&self, admin_call: AdminCallId, reply: AdminResponse) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&admin_call) {
            // The send fails if the client has disconnected and needs no reply.
            let _ = sender.send(reply);
        }
    }
}
