//! Calls of the C library that the standard library does not offer.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::os::raw::{c_int, c_void};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    fn connect(fd: c_int, address: *const SockAddrIn, length: u32) -> c_int;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: the call takes two numbers.
    unsafe { kill(pid as c_int, signal) };
}

/// Connects as a client beyond a usual network does: segments of 1,400 bytes and a small receive
/// buffer.
pub fn connect_small(address: SocketAddr, receive_buffer: i32) -> io::Result<TcpStream> {
    let IpAddr::V4(ip) = address.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: the descriptor is new and owned by the stream from here on.
    let (fd, stream) = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        (fd, TcpStream::from_raw_fd(fd))
    };
    for (level, name, value) in [
        (IPPROTO_TCP, TCP_MAXSEG, 1_400),
        (SOL_SOCKET, SO_RCVBUF, receive_buffer),
    ] {
        // SAFETY: the value is a number of the stated length.
        let result = unsafe { setsockopt(fd, level, name, (&raw const value).cast(), 4) };
        if result != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    let to = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: ip.octets(),
        zero: [0; 8],
    };
    // SAFETY: the address has the stated length.
    if unsafe { connect(fd, &raw const to, 16) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}
