//! Calls to the operating system that the standard library does not offer.

use std::os::unix::process::CommandExt as _;
use std::process::Command;

/// The value of `SO_LINGER`.
#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that this program has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) };
}

/// Lets the kernel kill the child when the thread that starts it ends, for whatever reason.
pub fn end_with_this_process(command: &mut Command) {
    // SAFETY: `prctl` is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Closes a connection at once, with a reset.
pub fn reset(stream: std::net::TcpStream) {
    use std::os::fd::AsRawFd as _;
    let linger = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the socket is open, and `linger` lives until the call returns.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
    drop(stream);
}
