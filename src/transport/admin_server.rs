//! The operators' door: its callers, each with one line and one answer.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::driver::Driver;
use crate::protocol::admin;
use crate::protocol::lines::{LineBuffer, NextLine};
use crate::routing::{AdminRejection, AdminResponse, Input};

/// Callers at a time: their descriptors are set aside for them.
pub const MOST_CALLERS: usize = 10;
/// A caller says its line at once. Danger: some say nothing, or half of it, and stay.
const HEARD: Duration = Duration::from_secs(2);
/// After its answer a caller has so long to go. Danger: closed over what it still sends, the connection
/// would be reset, and the answer lost.
const LINGER: Duration = Duration::from_millis(200);

struct Caller {
    task: JoinHandle<()>,
    /// It has said its line.
    heard: Rc<Cell<bool>>,
}

/// Who is at the door now, the oldest first.
#[derive(Default)]
pub struct Callers(VecDeque<Caller>);

impl Callers {
    /// Takes a caller in. Where all places are taken, the oldest that has said nothing goes.
    pub fn enter(&mut self, driver: &Rc<Driver>, stream: TcpStream) {
        self.0.retain(|admin_client| !admin_client.task.is_finished());
        if self.0.len() >= MOST_CALLERS {
            let oldest = self.0.iter().position(|admin_client| !admin_client.heard.get()).unwrap_or(0);
            if let Some(admin_client) = self.0.remove(oldest) {
                admin_client.task.abort();
            }
        }
        let heard = Rc::new(Cell::new(false));
        let task = tokio::task::spawn_local(serve(driver.clone(), stream, heard.clone()));
        self.0.push_back(Caller { task, heard });
    }
}

/// Reads the line: an error says what is wrong with it, nothing that there never was any.
async fn hear(stream: &mut TcpStream) -> Option<Result<Vec<u8>, &'static str>> {
    let mut lines = LineBuffer::default();
    loop {
        match lines.next_line(admin::MAX_CALL_LENGTH) {
            NextLine::Line(line) => return Some(Ok(line)),
            NextLine::TooLong => return Some(Err("too long for a call")),
            NextLine::Incomplete => {}
        }
        let mut piece = [0; admin::MAX_CALL_LENGTH];
        match stream.read(&mut piece).await {
            Ok(0) if lines.is_empty() => return None,
            // Danger: what was cut off may have meant another server.
            Ok(0) => return Some(Err("the line has no end")),
            Ok(n) => lines.push(&piece[..n]),
            Err(_) => return None,
        }
    }
}

async fn serve(driver: Rc<Driver>, mut stream: TcpStream, heard: Rc<Cell<bool>>) {
    let line = match timeout(HEARD, hear(&mut stream)).await {
        Ok(Some(line)) => line,
        Ok(None) => return,
        Err(_) => Err("no line came in time"),
    };
    heard.set(true);
    let reply = match line.and_then(|line| admin::parse_call(&line).map_err(|_| admin::UnknownCall::EXPECTED))
    {
        Ok(call) => driver.call(|admin_client| Input::AdminRequest { admin_client, call }).await,
        Err(reason) => AdminResponse::No(AdminRejection::InvalidCall(reason.to_owned())),
    };
    let answered = async {
        stream.write_all(&admin::encode_response(&reply)).await?;
        stream.shutdown().await?;
        while stream.read(&mut [0; admin::MAX_CALL_LENGTH]).await? > 0 {}
        std::io::Result::Ok(())
    };
    // Whether it waits for its answer or not: it has had it by now.
    let _ = timeout(LINGER, answered).await;
}

/// Takes callers for ever.
pub async fn accept(driver: Rc<Driver>, listener: Rc<TcpListener>) {
    let mut callers = Callers::default();
    let always = async |open: bool| {
        if !open {
            std::future::pending::<()>().await;
        }
    };
    super::accept_each(&listener, always, async |stream| callers.enter(&driver, stream)).await;
}
