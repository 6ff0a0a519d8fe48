//! Calls of admin clients.

use super::{AdminCall, AdminClientId, AdminRejection, AdminResponse, Effect, Metrics, State};
use crate::Time;

impl State {
    pub(super) fn on_admin_request(&mut self, now: Time, admin_client: AdminClientId, call: AdminCall) {
        match call {
            AdminCall::Ready => {
                let reply = self.readiness().map_or_else(AdminResponse::No, |()| AdminResponse::Yes);
                self.reply_to_admin_client(admin_client, reply);
            }
            AdminCall::Telemetry => {
                let reply = AdminResponse::Metrics(self.metrics(now));
                self.reply_to_admin_client(admin_client, reply);
            }
            AdminCall::Exclude(server) => self.exclude_or_readmit(now, admin_client, server, true),
            AdminCall::Include(server) => self.exclude_or_readmit(now, admin_client, server, false),
        }
    }

    fn reply_to_admin_client(&mut self, admin_client: AdminClientId, reply: AdminResponse) {
        self.effects.push(Effect::AdminReply { admin_client, reply });
    }

    /// Excludes or readmits a server. While there is a peer process, that one has to take it in before the reply.
    fn exclude_or_readmit(&mut self, now: Time, admin_client: AdminClientId, server: String, excluded: bool) {
        if let Err(rejection) = self.try_set_exclusion(now, &server, excluded) {
            return self.reply_to_admin_client(admin_client, AdminResponse::No(rejection));
        }
        if self.hot_restart.has_peer_process() {
            return self.share_exclusion(now, admin_client, server, excluded);
        }
        self.reply_to_admin_client(admin_client, AdminResponse::Yes);
    }

    fn try_set_exclusion(&mut self, now: Time, server: &str, excluded: bool) -> Result<(), AdminRejection> {
        if !self.listening {
            return Err(AdminRejection::NotReady);
        }
        if !self.is_known_server(server) {
            return Err(AdminRejection::UnknownServer(server.to_owned()));
        }
        if !self.set_exclusion(now, server, excluded) {
            return Err(AdminRejection::StoreFull);
        }
        Ok(())
    }

    /// The fronts listen: one of the conditions of readiness.
    pub(super) fn on_listening(&mut self) {
        self.listening = true;
    }

    /// Whether this process can serve.
    pub fn serves(&self) -> bool {
        self.readiness().is_ok()
    }

    /// Whether this process can serve, or why not.
    fn readiness(&self) -> Result<(), AdminRejection> {
        if self.shutdown.has_begun() {
            return Err(AdminRejection::ShuttingDown);
        }
        if self.hot_restart.successor_serves() {
            return Err(AdminRejection::ReplacedBySuccessor);
        }
        if !self.listening {
            return Err(AdminRejection::NotListening);
        }
        if !self.pools.iter().all(|pool| pool.listed.is_usable()) {
            return Err(AdminRejection::NoEndpointList);
        }
        Ok(())
    }

    /// The metrics as they are now.
    fn metrics(&self, now: Time) -> Metrics {
        let mut metrics = Metrics { forwards: self.forwarded_requests, ..Metrics::default() };
        for pool in &self.pools {
            pool.add_to_metrics(now, &mut metrics);
        }
        metrics
    }
}
