//! Execution of admin calls: readiness, metrics, exclusion and readmission.
//!
//! A process can serve new requests while its fronts listen, every pool has an endpoint list, no successor of
//! a hot restart serves, and no graceful shutdown has begun. It is ready when, in addition, its replica of the
//! map has received the entries that it missed before its start.
//!
//! An exclusion is applied before the reply is sent. While there is a peer process, the reply also waits for
//! the peer process's acknowledgement ([`super::hot_restart`]). Exclusions are rejected until the fronts
//! listen, because the server names that an operator may use are not known before.
//!
//! The only state of this module is whether the fronts listen.

use super::{AdminCall, AdminCallId, AdminRejection, AdminResponse, Effect, Metrics, State};
use crate::Time;

impl State {
    /// Executes a call. Replies at once, or after the peer process's acknowledgement.
    pub(super) fn on_admin_request(&mut self, now: Time, admin_call: AdminCallId, call: AdminCall) {
        match call {
            AdminCall::Readiness => {
                let reply = self.readiness().map_or_else(AdminResponse::No, |()| AdminResponse::Yes);
                self.reply_to_admin_call(admin_call, reply);
            }
            AdminCall::Metrics => {
                let reply = AdminResponse::Metrics(self.metrics(now));
                self.reply_to_admin_call(admin_call, reply);
            }
            AdminCall::Exclude(server) => self.exclude_or_readmit(now, admin_call, server, true),
            AdminCall::Readmit(server) => self.exclude_or_readmit(now, admin_call, server, false),
        }
    }

    fn reply_to_admin_call(&mut self, admin_call: AdminCallId, reply: AdminResponse) {
        self.effects.push(Effect::AdminReply { admin_call, reply });
    }

    /// Excludes or readmits a server, and shares the change with the peer process, if there is one.
    fn exclude_or_readmit(&mut self, now: Time, admin_call: AdminCallId, server: String, excluded: bool) {
        if let Err(rejection) = self.try_set_exclusion(now, &server, excluded) {
            return self.reply_to_admin_call(admin_call, AdminResponse::No(rejection));
        }
        if self.hot_restart.has_peer_process() {
            return self.share_exclusion(now, admin_call, server, excluded);
        }
        self.reply_to_admin_call(admin_call, AdminResponse::Yes);
    }

    fn try_set_exclusion(&mut self, now: Time, server: &str, excluded: bool) -> Result<(), AdminRejection> {
        if !self.is_listening {
            return Err(AdminRejection::ExclusionsNotAccepted);
        }
        if !self.is_known_server(server) {
            return Err(AdminRejection::UnknownServer(server.to_owned()));
        }
        self.set_exclusion(now, server, excluded).map_err(AdminRejection::NotStored)
    }

    /// Records that the fronts listen.
    pub(super) fn on_listening(&mut self) {
        self.is_listening = true;
    }

    /// Returns whether this process can serve new requests.
    pub fn is_serving(&self) -> bool {
        self.check_serving().is_ok()
    }

    /// Checks whether this process is ready.
    ///
    /// # Errors
    ///
    /// The first reason why it is not.
    fn readiness(&self) -> Result<(), AdminRejection> {
        self.check_serving()?;
        if !self.replication.is_ready() {
            return Err(AdminRejection::CatchingUp);
        }
        Ok(())
    }

    /// Checks whether this process can serve new requests.
    ///
    /// # Errors
    ///
    /// The first reason why it cannot.
    fn check_serving(&self) -> Result<(), AdminRejection> {
        if self.shutdown.has_begun() {
            return Err(AdminRejection::ShuttingDown);
        }
        if self.hot_restart.successor_serves() {
            return Err(AdminRejection::ReplacedBySuccessor);
        }
        if !self.is_listening {
            return Err(AdminRejection::NotListening);
        }
        if !self.pools.iter().all(|pool| pool.listed.is_usable()) {
            return Err(AdminRejection::NoEndpointList);
        }
        Ok(())
    }

    /// Returns the current metrics.
    fn metrics(&self, now: Time) -> Metrics {
        let mut metrics = Metrics { forwards: self.forwarded_requests, ..Metrics::default() };
        for pool in &self.pools {
            pool.add_to_metrics(now, &mut metrics);
        }
        metrics
    }
}
