//! Processes of the program under test, and free loopback addresses for them.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of a wait for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Path of the program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_turmericrelay");

/// Environment variable that names another build of the program to test.
const PROGRAM_VARIABLE: &str = "TURMERICRELAY_PROGRAM";

/// Returns the path of the program that fleets run: [`PROGRAM`], unless [`PROGRAM_VARIABLE`] names
/// another build.
fn program() -> String {
    std::env::var(PROGRAM_VARIABLE).unwrap_or_else(|_| PROGRAM.to_string())
}

static NEXT_HOST_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Held while a child process starts and while a free port is chosen. Between `fork` and `exec`,
/// the child holds copies of all open sockets, so a port stays in use while such a copy listens on
/// it.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Returns a loopback address that no other process of this test run uses.
fn next_host() -> Ipv4Addr {
    let number = NEXT_HOST_NUMBER.fetch_add(1, Ordering::Relaxed);
    let process_id = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (process_id % 250) as u8,
        (number / 250 % 250) as u8,
        1 + (number % 250) as u8,
    )
}

/// Binds one free port for both TCP and UDP. A port that is free for TCP may be in use for UDP; in
/// that case the next loopback address is tried.
pub fn bind_tcp_and_udp() -> (TcpListener, UdpSocket) {
    for _ in 0..100 {
        let listener = TcpListener::bind((next_host(), 0)).unwrap();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()) {
            return (listener, socket);
        }
    }
    panic!("no port is free for both TCP and UDP after 100 attempts");
}

/// Returns a free port on a loopback address that no other process of this test run uses.
pub fn free_address() -> SocketAddr {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    bind_tcp_and_udp().0.local_addr().unwrap()
}

/// Polls `check` until it returns a value; panics after [`WAIT_TIMEOUT`]. `what` names the expected
/// event in the panic message.
pub fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = check() {
            return value;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting for {what}");
}

/// Starts a process while no free port is being chosen; returns once the process runs its program.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// Runs a process until it exits and returns its output.
pub fn output(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command).wait_with_output().unwrap()
}

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Process {
    /// Starts the program with a piped standard output and with standard error written to `log`.
    pub fn start(arguments: &[String], log: PathBuf) -> Self {
        let child = spawn(
            Command::new(program())
                .args(arguments)
                .stdout(Stdio::piped())
                .stderr(File::create(&log).unwrap()),
        );
        Self { child, log }
    }

    /// Starts the program with one environment variable set; both output streams are appended to
    /// `log`.
    pub fn start_with_variable(
        arguments: &[&str],
        (name, value): (&str, &Path),
        log: PathBuf,
    ) -> Self {
        let output = File::options().create(true).append(true).open(&log).unwrap();
        let errors = output.try_clone().unwrap();
        let mut command = Command::new(program());
        command.args(arguments).env(name, value).stdout(output).stderr(errors);
        Self { child: spawn(&mut command), log }
    }

    /// Starts the program with one environment variable set and a standard output pipe that the
    /// test never reads.
    pub fn start_unread(arguments: &[&str], (name, value): (&str, &Path), log: PathBuf) -> Self {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).env(name, value).stdout(Stdio::piped()).stderr(Stdio::null());
        Self { child: spawn(&mut command), log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the first line of standard output, without surrounding white space.
    pub fn first_line(&mut self) -> String {
        let mut line = String::new();
        BufReader::new(self.child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
        line.trim().to_string()
    }

    /// Sends the signal `name`, without the prefix `SIG`, to the process.
    pub fn signal(&self, name: &str) {
        let process_id = self.id().to_string();
        let kill_output = output(Command::new("kill").args([&format!("-{name}"), &process_id]));
        assert!(kill_output.status.success(), "cannot send SIG{name} to process {process_id}");
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for the process to exit; returns its exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        wait_for("the process to exit", || self.child.try_wait().unwrap()).code()
    }

    /// Returns the content of the log file, or an empty string if it cannot be read.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the resident memory of a process in KiB.
pub fn memory_kibibytes(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
