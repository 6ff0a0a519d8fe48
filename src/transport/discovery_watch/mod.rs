//! Watches on discovery's endpoint lists: requested by the reducer, and renewed as long as they hold.

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
    /// Where the watch is requested after it was lost.
    requests: mpsc::Sender<()>,
    task: JoinHandle<()>,
}

/// Keeps a watch for each pool, as the commands come.
pub(super) async fn run_watches(reducer: ReducerHandle, mut commands: mpsc::UnboundedReceiver<WatchCommand>) {
    let mut watches: HashMap<PoolId, Watch> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            WatchCommand::Resume { pool } => {
                if let Some(watch) = watches.get(&pool) {
                    // Where a request waits already, a second one changes nothing.
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
    // The reducer requested it with the first list, before there was a task to take the request. There is
    // room for one.
    let _ = requests.try_send(());
    let follower = EndpointListFollower::new(reducer.clone(), pool, discovery, generation);
    Watch { requests, task: tokio::task::spawn_local(follower.run(requested)) }
}
