//! The admin endpoint. Each client sends one call of one line and receives one answer.

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

/// Timeout of a client's line. Some clients send nothing or an incomplete line, and remain connected.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client has to close its connection after the answer. Closing the socket while bytes are unread
/// would reset the connection, and the answer would be lost.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shared handles that the tasks of admin clients are started with.
#[derive(Clone)]
pub(super) struct AdminContext {
    /// Reducer to which the calls are fed.
    pub reducer: ReducerHandle,
    /// Calls that are waiting for replies of the reducer.
    pub calls: PendingAdminCalls,
}

/// One connected admin client.
struct AdminClient {
    task: JoinHandle<()>,
    /// Whether the client's line was received.
    called: Rc<Cell<bool>>,
}

/// The connected admin clients, the oldest first.
#[derive(Default)]
struct AdminClients(VecDeque<AdminClient>);

impl AdminClients {
    /// Serves a new client. If there are already [`MAX_ADMIN_CLIENTS`], disconnects the oldest client that
    /// has not sent a complete line.
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

/// Accepts admin clients. Never returns.
pub(super) async fn accept_clients(context: AdminContext, listener: Rc<TcpListener>) {
    let mut clients = AdminClients::default();
    // The admin endpoint always accepts, so the wait for accepting to be turned off never ends.
    let wait_until_accepting = async |on: bool| {
        if !on {
            std::future::pending::<()>().await;
        }
    };
    accept_each(&listener, wait_until_accepting, async |stream| clients.serve(&context, stream)).await;
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
    // A timeout is ignored: the answer has been sent even if the client does not close in time.
    let _ = timeout(CLOSE_TIMEOUT, write_reply(&mut stream, &reply)).await;
}

/// Why a client's line could not be read. The texts are sent to the client.
#[derive(Clone, Copy, Debug, Error)]
enum CallLineError {
    /// The connection was closed or failed before the client sent a line. No reply is sent.
    #[error("the connection is closed")]
    Closed,
    #[error("no line came in time")]
    TimedOut,
    #[error("too long for a call")]
    TooLong,
    /// The truncated line may name another server than the client meant.
    #[error("the line has no end")]
    Unterminated,
}

/// Reads a client's line, without its end.
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
            let input = |admin_call| Input::AdminRequest { admin_call, call };
            context.calls.call(&context.reducer, input).await
        }
        Err(_) => AdminResponse::No(AdminRejection::InvalidCall(admin::UnknownCall::EXPECTED.to_owned())),
    }
}

/// Writes the reply, then reads and discards bytes until the client has closed its side.
async fn write_reply(stream: &mut TcpStream, reply: &AdminResponse) -> std::io::Result<()> {
    stream.write_all(&admin::encode_response(reply)).await?;
    stream.shutdown().await?;
    while stream.read(&mut [0; admin::MAX_CALL_LENGTH]).await? > 0 {}
    Ok(())
}
