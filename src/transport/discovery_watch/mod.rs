//! Watches on discovery's endpoint lists: opened at the reducer's request, and renewed until a call fails.

mod connection;
mod error;
mod follower;

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use self::follower::EndpointListFollower;
use super::commands::WatchCommand;
use super::reducer::ReducerHandle;
use crate::routing::PoolId;

/// The task of a pool's watch.
struct Watch {
    /// Requests to open the watch again after it was lost.
    requests: mpsc::Sender<()>,
    task: JoinHandle<()>,
}

/// Keeps a watch for each pool, by the reducer's commands.
pub(super) async fn run_watches(reducer: ReducerHandle, mut commands: mpsc::UnboundedReceiver<WatchCommand>) {
    let mut watches: HashMap<PoolId, Watch> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            WatchCommand::Resume { pool } => {
                if let Some(watch) = watches.get(&pool) {
                    // A second request changes nothing while the first is pending.
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
    // The first request is implied by the command. The channel holds one, so this cannot fail.
    let _ = requests.try_send(());
    let follower = EndpointListFollower::new(reducer.clone(), pool, discovery, generation);
    Watch { requests, task: tokio::task::spawn_local(follower.run(requested)) }
}
