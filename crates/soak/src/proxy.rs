//! Loopback TCP proxies that inject network faults.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;

use crate::net::{self, TaskGroup};

#[cfg(test)]
mod tests;

/// Size of the buffer for each direction.
const COPY_BUFFER_BYTES: usize = 16 << 10;

/// Network fault.
///
/// The names of the variants are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Bytes are delayed in both directions.
    Delayed(Duration),
    /// Open and new connections are reset.
    Reset,
    /// Bytes to the server are held back.
    CutForward,
    /// Bytes to the client are held back.
    CutBackward,
    /// Bytes and the end of the stream are held back in both directions.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl Fault {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::CutForward => direction == Direction::Forward,
            Self::CutBackward => direction == Direction::Backward,
            Self::Delayed(_) | Self::Reset => false,
        }
    }
}

/// TCP proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    server: SocketAddr,
    fault: Cell<Option<Fault>>,
    changed: Notify,
}

impl Proxy {
    /// Starts a proxy that listens on an address.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn start(
        address: SocketAddr,
        server: SocketAddr,
        tasks: &TaskGroup,
    ) -> io::Result<Rc<Self>> {
        let listener = net::bind(address)?;
        let proxy = Rc::new(Self {
            server,
            fault: Cell::new(None),
            changed: Notify::new(),
        });
        let owner = Rc::clone(&proxy);
        let group = tasks.clone();
        tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                group.spawn(Rc::clone(&owner).handle_connection(stream));
            }
        });
        Ok(proxy)
    }

    /// Sets the fault of all connections.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.fault.set(fault);
        self.changed.notify_waiters();
    }

    async fn handle_connection(self: Rc<Self>, mut client: TcpStream) {
        if self.fault.get() == Some(Fault::Reset) {
            return net::reset(client);
        }
        // Without a server the connection is closed, as it would be without the proxy.
        let Ok(mut server) = TcpStream::connect(self.server).await else {
            return;
        };
        if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
            return;
        }
        let (client_in, client_out) = client.split();
        let (server_in, server_out) = server.split();
        let both = async {
            tokio::try_join!(
                self.copy(client_in, server_out, Direction::Forward),
                self.copy(server_in, client_out, Direction::Backward),
            )
        };
        let closed_normally = tokio::select! {
            result = both => result.is_ok(),
            () = self.wait_reset() => false,
        };
        if !closed_normally {
            net::reset(client);
            net::reset(server);
        }
    }

    /// Returns when the fault is a reset.
    async fn wait_reset(&self) {
        loop {
            let changed = self.changed.notified();
            if self.fault.get() == Some(Fault::Reset) {
                return;
            }
            changed.await;
        }
    }

    /// Copies bytes until the sender shuts down its side.
    async fn copy(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        direction: Direction,
    ) -> io::Result<()> {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            self.apply_fault(direction).await;
            if count == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buffer[..count]).await?;
        }
    }

    /// Delays the copying, then blocks it while the fault holds this direction back.
    async fn apply_fault(&self, direction: Direction) {
        if let Some(Fault::Delayed(delay)) = self.fault.get() {
            tokio::time::sleep(delay).await;
        }
        loop {
            let changed = self.changed.notified();
            if !self
                .fault
                .get()
                .is_some_and(|fault| fault.blocks(direction))
            {
                return;
            }
            changed.await;
        }
    }
}
