//! Admin clients that wait for the reducer's replies.

use tokio::sync::oneshot;

use super::Driver;
use crate::routing::{AdminClientId, AdminRejection, AdminResponse, Input};

impl Driver {
    /// Hands an admin client's call to the reducer, and waits for the reply.
    pub(crate) async fn call(&self, input: impl FnOnce(AdminClientId) -> Input) -> AdminResponse {
        let admin_client = AdminClientId(self.next_id());
        let (sender, reply) = oneshot::channel();
        self.admin_clients.borrow_mut().insert(admin_client, sender);
        self.feed(input(admin_client));
        reply.await.unwrap_or(AdminResponse::No(AdminRejection::NoReply))
    }

    pub(super) fn send_admin_reply(&self, admin_client: AdminClientId, reply: AdminResponse) {
        if let Some(waiting) = self.admin_clients.borrow_mut().remove(&admin_client) {
            // A client that has gone needs no reply.
            let _ = waiting.send(reply);
        }
    }
}
