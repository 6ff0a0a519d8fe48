//! One process takes the place of another: what goes between them, and the file for when nothing does.

use std::collections::HashMap;
use std::io::{self, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustix::net::{self, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketFlags};
use tokio::io::Interest;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

use super::commands::{ConnectionCommand, Outgoing, TransferredConnection};
use super::connection;
use super::driver::Driver;
use crate::program::config::Config;
use crate::protocol::hot_restart::{self, HandoverMessage, MAX_MESSAGE_LENGTH, MAX_PARTS, MAX_SOCKETS};
use crate::routing::{AdminClientId, ConnectionId, EstablishedConnection, HandoverState, Input, PoolId};

/// A process that is asked answers at once. Danger: it may hang, and a start waits for nobody.
const SILENT: Duration = Duration::from_millis(1500);
/// Where it is busy with another that starts, it is asked again for so long.
const BUSY_FOR: Duration = Duration::from_secs(3);
const BUSY_GAP: Duration = Duration::from_millis(100);
/// The process that starts serves so long after it has all it needs, or is taken to be lost.
const SERVES_IN: Duration = Duration::from_secs(2);
/// A connection that is not between two lines is asked again after so long.
const REST_GAP: Duration = Duration::from_millis(20);

/// The connected socket between two processes: not a stream, whatever it is called here, but one that keeps
/// messages apart.
struct Link(UnixStream);

impl Link {
    fn new(socket: UnixStream) -> io::Result<Link> {
        // Danger: in a folder that others may write to, what answers could be anybody's.
        if socket.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok(Link(socket))
    }

    async fn send(&self, word: &HandoverMessage, sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = hot_restart::encode(word).ok_or(io::ErrorKind::InvalidInput)?;
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
            let mut beside = SendAncillaryBuffer::new(&mut space);
            if !sockets.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(sockets)) {
                return Err(io::ErrorKind::InvalidInput.into());
            }
            let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
            Ok(net::sendmsg(&self.0, &[IoSlice::new(&bytes)], &mut beside, flags).map(drop)?)
        };
        let sent = async {
            loop {
                self.0.writable().await?;
                match self.0.try_io(Interest::WRITABLE, send) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    result => return result,
                }
            }
        };
        timeout(SILENT, sent).await?
    }

    /// The next message with the sockets beside it; none at the end. What is no message is an error.
    async fn receive(&self) -> io::Result<Option<(HandoverMessage, Vec<OwnedFd>)>> {
        let receive = || {
            let mut bytes = vec![0; MAX_MESSAGE_LENGTH];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
            let mut beside = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
            let got = net::recvmsg(&self.0, &mut [IoSliceMut::new(&mut bytes)], &mut beside, flags)?;
            let sockets: Vec<OwnedFd> = beside
                .drain()
                .filter_map(|message| match message {
                    RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
                    _ => None,
                })
                .flatten()
                .collect();
            if got.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC) {
                return Err(io::ErrorKind::InvalidData.into());
            }
            bytes.truncate(got.bytes);
            Ok((bytes, sockets))
        };
        let (bytes, sockets) = loop {
            self.0.readable().await?;
            match self.0.try_io(Interest::READABLE, receive) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break result?,
            }
        };
        if bytes.is_empty() {
            return Ok(None);
        }
        let word = hot_restart::decode(&bytes).ok_or(io::ErrorKind::InvalidData)?;
        Ok(Some((word, sockets)))
    }
}

/// Where a process that serves this is asked: named by what is listened on, the same for every version.
pub fn place(config: &Config) -> PathBuf {
    let platform = config.platform.iter().map(|p| format!("{} {}", p.name, p.listen));
    let irc = config.irc.iter().map(|irc| format!("{} {}", irc.setup.name, irc.listen));
    let all = platform.chain(irc).collect::<Vec<_>>().join("\n");
    std::env::temp_dir().join(format!("sagemount-{:08x}.sock", crc32fast::hash(all.as_bytes())))
}

/// What the process before left, and the link to it.
pub struct ReceivedState {
    link: Link,
    sockets: HashMap<String, OwnedFd>,
    pub handover_state: HandoverState,
}

impl ReceivedState {
    /// The socket of that name.
    pub fn socket(&mut self, name: &str) -> Option<OwnedFd> {
        self.sockets.remove(name)
    }
}

/// Asks whoever serves to hand over. None where nobody does, or nobody who answers.
pub async fn take(path: &Path) -> Option<ReceivedState> {
    let since = Instant::now();
    loop {
        let taken = match timeout(SILENT, ask(path)).await {
            Ok(Ok(taken)) => taken,
            // Nobody has ever served here, or whoever did is gone.
            Ok(Err(error))
                if [io::ErrorKind::NotFound, io::ErrorKind::ConnectionRefused].contains(&error.kind()) =>
            {
                return None;
            }
            Ok(Err(error)) => {
                crate::log!(warn, "{}: nothing is handed over: {error}", path.display());
                return None;
            }
            Err(_) => {
                crate::log!(warn, "{}: nothing is handed over: no answer in time", path.display());
                return None;
            }
        };
        if taken.is_some() || since.elapsed() >= BUSY_FOR {
            return taken;
        }
        sleep(BUSY_GAP).await;
    }
}

/// Asks once. None where it is busy with another that starts.
async fn ask(path: &Path) -> io::Result<Option<ReceivedState>> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = net::socket_with(net::AddressFamily::UNIX, net::SocketType::SEQPACKET, flags, None)?;
    net::connect(&socket, &net::SocketAddrUnix::new(path)?)?;
    let link = Link::new(UnixStream::from_std(socket.into())?)?;
    link.send(&HandoverMessage::Take, &[]).await?;
    let (mut handover_state, mut sockets) = (HandoverState::default(), HashMap::new());
    for heard in 0..MAX_PARTS {
        match link.receive().await {
            Ok(Some((HandoverMessage::Done, _))) => {
                return Ok(Some(ReceivedState { link, sockets, handover_state }))
            }
            Ok(Some((HandoverMessage::Part(part), _))) => hot_restart::add_part(&mut handover_state, part),
            Ok(Some((HandoverMessage::Socket(name), beside))) => {
                sockets.extend(beside.into_iter().map(|s| (name.clone(), s)))
            }
            Ok(Some(_)) => return Err(io::ErrorKind::InvalidData.into()),
            Ok(None) if heard == 0 => return Ok(None),
            Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::InvalidData.into())
}

/// This process serves in the place of the one before: it is told so, and its connections come over.
pub async fn succeed(driver: Rc<Driver>, received: ReceivedState) {
    let (outgoing, words) = mpsc::unbounded_channel();
    driver.set_outbox(Some(outgoing));
    if received.link.send(&HandoverMessage::Serving, &[]).await.is_ok() {
        talk(&driver, &received.link, words).await;
    }
    driver.set_outbox(None);
    driver.feed(Input::PeerProcessLost);
}

/// Offers this process's place to whoever starts, for ever. What cannot be offered is logged.
pub fn offer(driver: Rc<Driver>, path: &Path) {
    match listen(path) {
        Ok(listener) => drop(tokio::task::spawn_local(accept(driver, listener))),
        Err(error) => crate::log!(warn, "{}: cannot be handed over: {error}", path.display()),
    }
}

/// Listens there in the place of whatever did before.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let mine = path.with_extension(std::process::id().to_string());
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = net::socket_with(net::AddressFamily::UNIX, net::SocketType::SEQPACKET, flags, None)?;
    let _ = std::fs::remove_file(&mine);
    net::bind(&socket, &net::SocketAddrUnix::new(&mine)?)?;
    std::fs::set_permissions(&mine, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
    net::listen(&socket, 8)?;
    std::fs::rename(&mine, path)?;
    UnixListener::from_std(socket.into())
}

async fn accept(driver: Rc<Driver>, listener: UnixListener) {
    loop {
        match listener.accept().await.and_then(|(socket, _)| Link::new(socket)) {
            Ok(link) => drop(tokio::task::spawn_local(export_state(driver.clone(), link))),
            Err(_) => sleep(REST_GAP).await,
        }
    }
}

/// Hands over to a process that starts, and goes on if it comes to nothing.
async fn export_state(driver: Rc<Driver>, link: Link) {
    if !matches!(timeout(SILENT, link.receive()).await, Ok(Ok(Some((HandoverMessage::Take, _)))))
        || driver.has_peer_process()
    {
        return;
    }
    let (outgoing, words) = mpsc::unbounded_channel();
    driver.set_outbox(Some(outgoing));
    driver.feed(Input::SuccessorStarted);
    let served = async {
        for (name, socket) in driver.sockets()? {
            link.send(&HandoverMessage::Socket(name), &[socket.as_fd()]).await?;
        }
        for part in hot_restart::split_state(driver.handover_state()) {
            // What does not fit a message is left out: no sound name or id is so long.
            let word = HandoverMessage::Part(part);
            if hot_restart::encode(&word).is_some() {
                link.send(&word, &[]).await?;
            }
        }
        link.send(&HandoverMessage::Done, &[]).await?;
        match link.receive().await? {
            Some((HandoverMessage::Serving, _)) => Ok(()),
            _ => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        }
    };
    match timeout(SERVES_IN, served).await {
        Ok(Ok(())) => {
            driver.feed(Input::SuccessorReady);
            talk(&driver, &link, words).await;
        }
        Ok(Err(error)) => crate::log!(warn, "not handed over: {error}"),
        Err(_) => crate::log!(warn, "not handed over: nobody serves in time"),
    }
    drop(link);
    driver.set_outbox(None);
    driver.feed(Input::PeerProcessLost);
    driver.keep_again();
}

/// Talks with the other process until it is gone, or says what cannot be read.
async fn talk(driver: &Rc<Driver>, link: &Link, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    loop {
        let done = tokio::select! {
            word = link.receive() => match word {
                Ok(Some((word, sockets))) => hear(driver, link, word, sockets).await,
                Ok(None) => return,
                Err(error) => Err(error),
            },
            Some(word) = outgoing.recv() => match word {
                Outgoing::Share { admin_client, server, out } => {
                    link.send(&HandoverMessage::Share { number: admin_client.0, server, out }, &[]).await
                }
                Outgoing::Pass { connection, pool, established } => pass(driver, link, connection, pool, *established).await,
            },
        };
        if let Err(error) = done {
            return crate::log!(warn, "the other process: {error}");
        }
    }
}

async fn hear(
    driver: &Rc<Driver>,
    link: &Link,
    word: HandoverMessage,
    sockets: Vec<OwnedFd>,
) -> io::Result<()> {
    match word {
        HandoverMessage::Share { number, server, out } => {
            driver.feed(Input::ExclusionShared { server, out });
            link.send(&HandoverMessage::Shared { number }, &[]).await
        }
        HandoverMessage::Shared { number } => {
            driver.feed(Input::ExclusionAcknowledged { admin_client: AdminClientId(number) });
            Ok(())
        }
        HandoverMessage::EstablishedConnection { front, established, state } => {
            let Ok([client, attempt]) = <[OwnedFd; 2]>::try_from(sockets) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let stream = |socket| TcpStream::from_std(std::net::TcpStream::from(socket));
            let (client, attempt) = (stream(client)?, stream(attempt)?);
            match driver.front(&front) {
                Some((pool, mut front)) => {
                    front.import_state(&state);
                    connection::adopt(driver, pool, [client, attempt], front, established);
                    Ok(())
                }
                // There is no such front here any more: its clients find that out by the end.
                None => Ok(()),
            }
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Passes a connection on, if it is between two lines; or else tries again a little later.
async fn pass(
    driver: &Rc<Driver>,
    link: &Link,
    connection: ConnectionId,
    pool: PoolId,
    established: EstablishedConnection,
) -> io::Result<()> {
    let (sender, passed) = oneshot::channel();
    driver.order(connection, ConnectionCommand::Pass(sender));
    let Ok(TransferredConnection { client, attempt, state, goodbye }) = passed.await else {
        if driver.holds(connection) {
            let driver = driver.clone();
            tokio::task::spawn_local(async move {
                sleep(REST_GAP).await;
                driver.send_to_peer_process(Outgoing::Pass {
                    connection,
                    pool,
                    established: Box::new(established),
                });
            });
        }
        return Ok(());
    };
    let front = driver.front_name(pool).unwrap_or_default();
    let sent = link
        .send(
            &HandoverMessage::EstablishedConnection { front, established, state },
            &[client.as_fd(), attempt.as_fd()],
        )
        .await;
    if sent.is_err() {
        // Danger: nobody holds it any more, and it must not be cut off without a word.
        let _ = std::net::TcpStream::from(client).write(&goodbye);
    }
    driver.feed(Input::ConnectionTransferred { connection });
    sent
}
