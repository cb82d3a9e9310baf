//! Proxy before the address at which other daemons reach a daemon. It can cut a VM off from all
//! others.

use std::collections::HashSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time between checks whether a cut has begun.
const CHECK: Duration = Duration::from_millis(20);

/// Connections between the daemons of all VMs.
#[derive(Debug, Default)]
pub struct Links {
    names: Vec<String>,
    cut: Mutex<HashSet<String>>,
}

impl Links {
    /// Creates the links between VMs with these names.
    pub fn new(names: &[&str]) -> Arc<Self> {
        Arc::new(Self {
            names: names.iter().map(|name| (*name).to_owned()).collect(),
            cut: Mutex::default(),
        })
    }

    /// Cuts a VM off from the others, or ends that.
    pub fn set_cut(&self, vm: &str, is_cut: bool) {
        let mut cut = self.cut.lock().unwrap();
        if is_cut {
            cut.insert(vm.to_owned());
        } else {
            cut.remove(vm);
        }
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        let cut = self.cut.lock().unwrap();
        cut.contains(a) || cut.contains(b)
    }

    /// Passes on the connections to a VM.
    pub fn listen(
        self: &Arc<Self>,
        vm: &str,
        address: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let links = Arc::clone(self);
        let vm = vm.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (links, vm) = (Arc::clone(&links), vm.clone());
                thread::spawn(move || drop(links.connect(&vm, stream, target)));
            }
        });
        Ok(())
    }

    /// Serves a connection. A daemon begins one with a frame that holds the name of its VM.
    fn connect(
        self: &Arc<Self>,
        vm: &str,
        mut stream: TcpStream,
        target: SocketAddr,
    ) -> io::Result<()> {
        let mut first = vec![0; 64 << 10];
        let count = stream.read(&mut first)?;
        first.truncate(count);
        let holds = |name: &&String| {
            first
                .windows(name.len())
                .any(|part| part == name.as_bytes())
        };
        let Some(source) = self.names.iter().find(holds).cloned() else {
            return Ok(());
        };
        let mut out = TcpStream::connect(target)?;
        for stream in [&stream, &out] {
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(CHECK))?;
        }
        let back = (out.try_clone()?, stream.try_clone()?);
        let (links, names) = (Arc::clone(self), (source.clone(), vm.to_owned()));
        thread::spawn(move || links.pump(&names.0, &names.1, back.0, back.1));
        if !self.is_cut(&source, vm) {
            out.write_all(&first)?;
        }
        self.pump(&source, vm, stream, out);
        Ok(())
    }

    /// Passes bytes on until the connection ends or is cut. What a cut holds up is lost with the
    /// connection, which stays silent until the cut ends.
    fn pump(&self, a: &str, b: &str, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 << 10];
        let mut was_cut = false;
        loop {
            let is_cut = self.is_cut(a, b);
            if was_cut && !is_cut {
                break;
            }
            was_cut |= is_cut;
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) if !self.is_cut(a, b) => {
                    if to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                Ok(_) => was_cut = true,
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        // During a cut neither end learns of the close of the other one.
        while self.is_cut(a, b) {
            thread::sleep(CHECK);
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
