//! The few system calls that the standard library does not offer: signals, and options of sockets.

use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockaddrIn, length: u32) -> i32;
    fn close(fd: i32) -> i32;
}

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port_be: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program has started and not waited for.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// For the child between fork and exec: it is killed when the thread that started it is gone.
pub fn die_with_parent() {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
}

/// Connects as a client on a real network does: segments of an Ethernet, and a receive buffer
/// of the given size.
pub fn connect_narrow(to: SocketAddrV4, receive_bytes: i32) -> std::io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 0o2000001;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let address = SockaddrIn {
        family: AF_INET as u16,
        port_be: to.port().to_be(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &1448, 4);
        if connect(fd, &address, std::mem::size_of::<SockaddrIn>() as u32) != 0 {
            let error = std::io::Error::last_os_error();
            close(fd);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(fd))
    }
}
