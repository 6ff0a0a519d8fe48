//! The link between two processes: a Unix socket that carries messages with attached descriptors.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;
use std::time::Duration;

use rustix::net::{self, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketFlags};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use super::error::LinkError;
use crate::protocol::hot_restart::{self, HandoverMessage, MAX_MESSAGE_LENGTH, MAX_SOCKETS};

/// Timeout of sending a message. Without it this process would wait for a peer process that hangs.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of processes whose connections wait to be accepted.
const LISTEN_BACKLOG: i32 = 8;
/// Permissions of the socket: only this user may connect.
const SOCKET_MODE: u32 = 0o600;

/// The connected socket. Its type is `SOCK_SEQPACKET`, although the runtime calls it a stream.
pub(super) struct Link(UnixStream);

/// A message, and the descriptors attached to it.
pub(super) struct ReceivedMessage {
    pub(super) message: HandoverMessage,
    pub(super) sockets: Vec<OwnedFd>,
}

/// The bytes of a message, and the descriptors attached to it.
struct ReceivedBytes {
    bytes: Vec<u8>,
    sockets: Vec<OwnedFd>,
}

impl Link {
    /// Connects to the process that listens at a path.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Socket`] if no process listens at the path, and [`LinkError::OtherUser`] if the
    /// process belongs to another user.
    pub(super) fn connect(path: &Path) -> Result<Link, LinkError> {
        let socket = open_socket().map_err(io::Error::from)?;
        let address = net::SocketAddrUnix::new(path).map_err(io::Error::from)?;
        net::connect(&socket, &address).map_err(io::Error::from)?;
        Link::new(UnixStream::from_std(socket.into())?)
    }

    /// Creates a link over a socket whose other end belongs to the same user.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::OtherUser`] if the other end belongs to another user.
    pub(super) fn new(socket: UnixStream) -> Result<Link, LinkError> {
        let (peer, own) = (socket.peer_cred()?.uid(), rustix::process::geteuid().as_raw());
        if peer != own {
            return Err(LinkError::OtherUser { peer, own });
        }
        Ok(Link(socket))
    }

    /// Sends a message with descriptors attached to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long, the link is broken, or the other process does not read
    /// the message within [`SEND_TIMEOUT`].
    pub(super) async fn send(
        &self,
        message: &HandoverMessage,
        sockets: &[BorrowedFd<'_>],
    ) -> Result<(), LinkError> {
        let bytes = hot_restart::encode(message).ok_or(LinkError::MessageTooLong)?;
        let sent = timeout(SEND_TIMEOUT, self.send_bytes(&bytes, sockets)).await;
        Ok(sent.map_err(|_| LinkError::SendTimedOut { send_timeout: SEND_TIMEOUT })??)
    }

    async fn send_bytes(&self, bytes: &[u8], sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
        loop {
            self.0.writable().await?;
            match self.0.try_io(Interest::WRITABLE, || self.try_send(bytes, sockets)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    fn try_send(&self, bytes: &[u8], sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
        let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut control_buffer);
        if !sockets.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(sockets)) {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        Ok(net::sendmsg(&self.0, &[IoSlice::new(bytes)], &mut ancillary, flags).map(drop)?)
    }

    /// Receives the next message. Returns none if the other process has closed the link. Cancellation-safe: a
    /// message is received by a single system call.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is broken or the message is invalid.
    pub(super) async fn receive(&self) -> Result<Option<ReceivedMessage>, LinkError> {
        let ReceivedBytes { bytes, sockets } = loop {
            self.0.readable().await?;
            match self.0.try_io(Interest::READABLE, || self.try_receive()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break result?,
            }
        };
        if bytes.is_empty() {
            return Ok(None);
        }
        let length = bytes.len();
        let message = hot_restart::decode(&bytes).ok_or(LinkError::InvalidMessage { length })?;
        Ok(Some(ReceivedMessage { message, sockets }))
    }

    fn try_receive(&self) -> io::Result<ReceivedBytes> {
        let mut bytes = vec![0; MAX_MESSAGE_LENGTH];
        let mut control_buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut control_buffer);
        let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
        let received = net::recvmsg(&self.0, &mut [IoSliceMut::new(&mut bytes)], &mut ancillary, flags)?;
        let rights = ancillary.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
            _ => None,
        });
        let sockets: Vec<OwnedFd> = rights.flatten().collect();
        if received.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC) {
            let reason =
                format!("a message exceeds the limit of {MAX_MESSAGE_LENGTH} bytes or {MAX_SOCKETS} sockets");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        bytes.truncate(received.bytes);
        Ok(ReceivedBytes { bytes, sockets })
    }
}

fn open_socket() -> rustix::io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    net::socket_with(net::AddressFamily::UNIX, net::SocketType::SEQPACKET, flags, None)
}

/// Listens at a path, and replaces an earlier socket at the same path.
///
/// # Errors
///
/// Returns an error if the socket cannot be opened, bound or renamed.
pub(super) fn listen(path: &Path) -> io::Result<UnixListener> {
    // The socket is bound at a temporary path. Renaming it replaces the old socket atomically.
    let temporary_path = path.with_extension(std::process::id().to_string());
    let socket = open_socket()?;
    let _ = std::fs::remove_file(&temporary_path);
    net::bind(&socket, &net::SocketAddrUnix::new(&temporary_path)?)?;
    std::fs::set_permissions(&temporary_path, std::os::unix::fs::PermissionsExt::from_mode(SOCKET_MODE))?;
    net::listen(&socket, LISTEN_BACKLOG)?;
    std::fs::rename(&temporary_path, path)?;
    UnixListener::from_std(socket.into())
}
