//! Watches on discovery's endpoint lists. A watch is opened at the reducer's request and repeats its call
//! until a call fails.

mod connection;
mod error;
mod failed_call;
mod follower;

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use self::follower::EndpointListFollower;
use super::commands::WatchCommand;
use super::reducer::ReducerHandle;
use crate::routing::PoolId;

/// The task of a pool's watch, and the channel to it.
struct Watch {
    /// Requests to reopen the watch after it was lost.
    requests: mpsc::Sender<()>,
    task: JoinHandle<()>,
}

/// Starts and resumes the watches of pools by the reducer's commands.
pub(super) async fn run_watches(reducer: ReducerHandle, mut commands: mpsc::UnboundedReceiver<WatchCommand>) {
    let mut watches: HashMap<PoolId, Watch> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            WatchCommand::Resume { pool } => {
                if let Some(watch) = watches.get(&pool) {
                    // While a request is pending, a second request has no effect.
                    let _ = watch.requests.try_send(());
                }
            }
            WatchCommand::Start { pool, discovery, generation } => {
                let watch = start_watch(&reducer, pool, discovery, generation);
                if let Some(old) = watches.insert(pool, watch) {
                    old.task.abort();
                }
            }
        }
    }
}

fn start_watch(
    reducer: &ReducerHandle,
    pool: PoolId,
    discovery: SocketAddr,
    generation: Option<u64>,
) -> Watch {
    let (requests, requested) = mpsc::channel(1);
    // The command implies the first request. The channel has capacity for one request, so this cannot fail.
    let _ = requests.try_send(());
    let follower = EndpointListFollower::new(reducer.clone(), pool, discovery, generation);
    Watch { requests, task: tokio::task::spawn_local(follower.run(requested)) }
}
