//! Sockets, HTTP messages and task groups of the stand-ins.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use transport::http1::{Decoder, Message, MessageKind};

/// Largest head, and largest body, of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 256;

/// Listens on an address that an earlier stand-in may have just released.
///
/// # Errors
///
/// Fails when the address is in use.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Resets a connection instead of closing it.
pub fn reset(stream: TcpStream) {
    // If the option cannot be set, the socket is closed normally, which is a milder fault.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// Reads the next message; returns `None` if the connection ended or the bytes are no HTTP message.
pub async fn read_message(
    stream: &mut TcpStream,
    decoder: &mut Decoder,
    buffer: &mut BytesMut,
) -> Option<Message> {
    loop {
        match decoder.take(buffer) {
            Ok(Some(message)) => return Some(message),
            Ok(None) => {}
            Err(_) => return None,
        }
        match stream.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return None,
        }
    }
}

/// Sends a request over a new connection and reads the response; returns `None` if none arrives in
/// time.
pub async fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request).await.ok()?;
        read_message(
            &mut stream,
            &mut decoder(MessageKind::Response),
            &mut BytesMut::new(),
        )
        .await
    };
    timeout(limit, exchange).await.ok().flatten()
}

/// Creates a decoder for the messages of one side.
#[must_use]
pub fn decoder(side: MessageKind) -> Decoder {
    Decoder::new(side, MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
}

/// Tasks that are aborted together.
#[derive(Clone, Debug, Default)]
pub struct TaskGroup(Rc<RefCell<Vec<AbortHandle>>>);

impl TaskGroup {
    /// Spawns a task in this group.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(tokio::task::spawn_local(task).abort_handle());
    }

    /// Aborts all tasks.
    pub fn abort(&self) {
        for task in self.0.borrow_mut().drain(..) {
            task.abort();
        }
    }
}
