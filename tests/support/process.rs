//! Processes of the program and free addresses for them.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_turmericrelay");

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

/// Held while a process is started and while a free port is looked for: between fork and exec a
/// child holds copies of all sockets, and a port that such a copy listens on is not free.
static SOCKET_COPIES: Mutex<()> = Mutex::new(());

/// A loopback host that no other process of this test run uses.
fn next_host() -> Ipv4Addr {
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (process % 250) as u8,
        (number / 250 % 250) as u8,
        1 + (number % 250) as u8,
    )
}

/// Listens on one free port for TCP and UDP. A port that is free for TCP may be taken for UDP, so
/// further hosts are tried.
pub fn bind_pair() -> (TcpListener, UdpSocket) {
    for _ in 0..100 {
        let listener = TcpListener::bind((next_host(), 0)).unwrap();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()) {
            return (listener, socket);
        }
    }
    panic!("no port is free for both TCP and UDP");
}

/// A loopback address that no other process of this test run uses, with a free port.
pub fn free_address() -> SocketAddr {
    let _guard = SOCKET_COPIES.lock().unwrap_or_else(PoisonError::into_inner);
    bind_pair().0.local_addr().unwrap()
}

/// Asks `check` again and again until it gives a value; fails the test when it never does.
pub fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if let Some(value) = check() {
            return value;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("{what} did not happen within {PATIENCE:?}");
}

/// Starts a process while no free port is being looked for; returns once it runs its program.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SOCKET_COPIES.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// Runs a process to its end and gives what it printed.
pub fn output(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command).wait_with_output().unwrap()
}

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Process {
    pub fn start(arguments: &[String], log: PathBuf) -> Self {
        let child = spawn(
            Command::new(PROGRAM)
                .args(arguments)
                .stdout(Stdio::piped())
                .stderr(File::create(&log).unwrap()),
        );
        Self { child, log }
    }

    /// Starts a process with one variable set, that logs to standard output.
    pub fn start_with(arguments: &[&str], (name, value): (&str, &Path), log: PathBuf) -> Self {
        let output = File::options().create(true).append(true).open(&log).unwrap();
        let errors = output.try_clone().unwrap();
        let mut command = Command::new(PROGRAM);
        command.args(arguments).env(name, value).stdout(output).stderr(errors);
        Self { child: spawn(&mut command), log }
    }

    /// Starts a process whose standard output nobody reads.
    pub fn start_unread(arguments: &[&str], (name, value): (&str, &Path), log: PathBuf) -> Self {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).env(name, value).stdout(Stdio::piped()).stderr(Stdio::null());
        Self { child: spawn(&mut command), log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn first_line(&mut self) -> String {
        let mut line = String::new();
        BufReader::new(self.child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
        line.trim().to_string()
    }

    pub fn signal(&self, name: &str) {
        let number = self.id().to_string();
        let ended = output(Command::new("kill").args([&format!("-{name}"), &number]));
        assert!(ended.status.success(), "kill -{name} {number}");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for the process to end by itself; gives its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        wait_for("end of process", || self.child.try_wait().unwrap()).code()
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Memory that a process has in use, in KiB.
pub fn memory_kibibytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
