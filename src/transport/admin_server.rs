//! The admin endpoint: its clients, each with one line and one answer.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::listener::accept_each;
use super::pending_admin_calls::PendingAdminCalls;
use super::reducer::ReducerHandle;
use crate::program::config::MAX_ADMIN_CLIENTS;
use crate::protocol::admin;
use crate::protocol::lines::{LineBuffer, NextLine};
use crate::routing::{AdminRejection, AdminResponse, Input};

/// A client sends its line at once. Some send nothing, or half of it, and stay.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client has to close after its answer. Closed over what it still sends, the connection would be
/// reset, and the answer lost.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// What the tasks of admin clients need.
#[derive(Clone)]
pub(super) struct AdminContext {
    /// The reducer, which the calls are for.
    pub reducer: ReducerHandle,
    /// Where they wait for their replies.
    pub calls: PendingAdminCalls,
}

/// One admin client.
struct AdminClient {
    task: JoinHandle<()>,
    /// Whether its line has come.
    called: Rc<Cell<bool>>,
}

/// The admin clients that are connected, the oldest first.
#[derive(Default)]
struct AdminClients(VecDeque<AdminClient>);

impl AdminClients {
    /// Serves a new client. Where all places are taken, the oldest whose line has not come is closed.
    fn serve(&mut self, context: &AdminContext, stream: TcpStream) {
        self.0.retain(|admin_client| !admin_client.task.is_finished());
        if self.0.len() >= MAX_ADMIN_CLIENTS {
            let oldest = self.0.iter().position(|admin_client| !admin_client.called.get()).unwrap_or(0);
            if let Some(admin_client) = self.0.remove(oldest) {
                admin_client.task.abort();
            }
        }
        let called = Rc::new(Cell::new(false));
        let task = tokio::task::spawn_local(serve_client(context.clone(), stream, called.clone()));
        self.0.push_back(AdminClient { task, called });
    }
}

/// Accepts admin clients, for ever.
pub(super) async fn accept_clients(context: AdminContext, listener: Rc<TcpListener>) {
    let mut clients = AdminClients::default();
    let always_open = async |open: bool| {
        if !open {
            std::future::pending::<()>().await;
        }
    };
    accept_each(&listener, always_open, async |stream| clients.serve(&context, stream)).await;
}

async fn serve_client(context: AdminContext, mut stream: TcpStream, called: Rc<Cell<bool>>) {
    let line = match timeout(CALL_TIMEOUT, read_line(&mut stream)).await {
        Ok(Err(CallLineError::Closed)) => return,
        Ok(result) => result,
        Err(_) => Err(CallLineError::TimedOut),
    };
    called.set(true);
    let reply = match line {
        Ok(line) => handle_call(&context, &line).await,
        Err(error) => AdminResponse::No(AdminRejection::InvalidCall(error.to_string())),
    };
    // Whether the client waited for its answer or not: it is sent by now.
    let _ = timeout(CLOSE_TIMEOUT, write_reply(&mut stream, &reply)).await;
}

/// Why there is no line to handle.
#[derive(Clone, Copy, Debug, Error)]
enum CallLineError {
    /// The client closed the connection, or it broke, before it had sent a line: it gets no reply.
    #[error("the connection is closed")]
    Closed,
    #[error("no line came in time")]
    TimedOut,
    #[error("too long for a call")]
    TooLong,
    /// What was cut off may have meant another server.
    #[error("the line has no end")]
    Unterminated,
}

/// Reads a client's line.
async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, CallLineError> {
    let mut lines = LineBuffer::default();
    loop {
        match lines.next_line(admin::MAX_CALL_LENGTH) {
            NextLine::Line(line) => return Ok(line),
            NextLine::TooLong => return Err(CallLineError::TooLong),
            NextLine::Incomplete => {}
        }
        let mut buffer = [0; admin::MAX_CALL_LENGTH];
        match stream.read(&mut buffer).await {
            Ok(0) if lines.is_empty() => return Err(CallLineError::Closed),
            Ok(0) => return Err(CallLineError::Unterminated),
            Ok(length) => lines.push(&buffer[..length]),
            Err(_) => return Err(CallLineError::Closed),
        }
    }
}

async fn handle_call(context: &AdminContext, line: &[u8]) -> AdminResponse {
    match admin::parse_call(line) {
        Ok(call) => {
            let input = |admin_client| Input::AdminRequest { admin_client, call };
            context.calls.call(&context.reducer, input).await
        }
        Err(_) => AdminResponse::No(AdminRejection::InvalidCall(admin::UnknownCall::EXPECTED.to_owned())),
    }
}

/// Writes the reply, and reads until the client has closed its side.
async fn write_reply(stream: &mut TcpStream, reply: &AdminResponse) -> std::io::Result<()> {
    stream.write_all(&admin::encode_response(reply)).await?;
    stream.shutdown().await?;
    while stream.read(&mut [0; admin::MAX_CALL_LENGTH]).await? > 0 {}
    Ok(())
}
