//! HTTP servers of the stand-ins.

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
use transport::http1::{Collector, Message, Side};

/// Bytes of a head and of a body.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 256;

/// Listens on an address that an earlier stand-in may have used a moment ago.
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
    // A socket that refuses the option is closed in order, which is a milder fault.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// Reads the next message; `None` when the connection ended or carried something else.
pub async fn read_message(
    stream: &mut TcpStream,
    decoder: &mut Collector,
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

/// Sends a request over a new connection and reads its answer; `None` when there is none in time.
pub async fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request).await.ok()?;
        read_message(
            &mut stream,
            &mut decoder(Side::Answers),
            &mut BytesMut::new(),
        )
        .await
    };
    timeout(limit, exchange).await.ok().flatten()
}

/// A collector of one side's messages.
#[must_use]
pub fn decoder(side: Side) -> Collector {
    Collector::new(side, MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
}

/// Tasks that end together.
#[derive(Clone, Debug, Default)]
pub struct TaskGroup(Rc<RefCell<Vec<AbortHandle>>>);

impl TaskGroup {
    /// Starts a task of this group.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(tokio::task::spawn_local(task).abort_handle());
    }

    /// Ends all tasks at once.
    pub fn abort(&self) {
        for task in self.0.borrow_mut().drain(..) {
            task.abort();
        }
    }
}
