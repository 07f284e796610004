//! The fault-injecting proxy: TCP and UDP on one address, towards one target.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::bind_pair;

const POLL: Duration = Duration::from_millis(5);

/// Faults of one direction of traffic.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Swallows everything and keeps connections open, as a silent network partition does.
    pub is_cut: bool,
    /// Swallows what comes back on TCP connections.
    pub is_half_open: bool,
    /// Closes a TCP connection once so many bytes have come back on it; 0 for never.
    pub truncate_after: usize,
    /// Holds everything back for this long.
    pub delay: Duration,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: u32,
    /// Share of datagrams that arrive twice, in percent.
    pub duplicate_percent: u32,
    /// Share of datagrams that are held back behind the next one, in percent.
    pub reorder_percent: u32,
    /// Most bytes a second on a TCP connection; 0 for no limit.
    pub bytes_per_second: u32,
}

struct Shared {
    target: SocketAddr,
    faults: Mutex<Faults>,
    resets: Mutex<Vec<TcpStream>>,
    is_stopped: AtomicBool,
}

impl Shared {
    fn faults(&self) -> Faults {
        self.faults.lock().unwrap().clone()
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

/// A running proxy; it ends when it is dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy towards `target` without faults.
    pub fn start(target: SocketAddr) -> Self {
        Self::start_on(bind_pair(), target)
    }

    /// Starts a proxy at `address` towards `target` without faults.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        Self::start_on((listener, UdpSocket::bind(address).unwrap()), target)
    }

    fn start_on((listener, socket): (TcpListener, UdpSocket), target: SocketAddr) -> Self {
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            target,
            faults: Mutex::default(),
            resets: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || accept(&accepting, &listener));
        let relaying = shared.clone();
        std::thread::spawn(move || relay_datagrams(&relaying, &socket));
        Self { address, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults from now on.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().unwrap());
    }

    /// Closes all TCP connections.
    pub fn reset(&self) {
        for stream in self.shared.resets.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.reset();
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                std::thread::spawn(move || connect(&shared, stream));
            }
            Err(_) => std::thread::sleep(POLL),
        }
    }
}

fn connect(shared: &Arc<Shared>, near: TcpStream) {
    near.set_nonblocking(false).unwrap();
    while shared.faults().is_cut && !shared.is_stopped() {
        std::thread::sleep(POLL);
    }
    let Ok(far) = TcpStream::connect(shared.target) else {
        return;
    };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
        shared.resets.lock().unwrap().push(stream.try_clone().unwrap());
    }
    let (near_back, far_back) = (near.try_clone().unwrap(), far.try_clone().unwrap());
    let back = shared.clone();
    std::thread::spawn(move || copy(&back, far_back, near_back, true));
    copy(shared, near, far, false);
}

fn copy(shared: &Shared, mut from: TcpStream, mut to: TcpStream, is_back: bool) {
    let mut buffer = [0; 16 << 10];
    let mut passed = 0;
    let _ = from.set_read_timeout(Some(Duration::from_millis(100)));
    while !shared.is_stopped() {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        let truncate_after = shared.faults().truncate_after;
        if is_back && truncate_after > 0 && passed + length > truncate_after {
            let _ = to.write_all(&buffer[..truncate_after.saturating_sub(passed)]);
            let _ = from.shutdown(std::net::Shutdown::Both);
            break;
        }
        passed += length;
        if !pass(shared, length, is_back) || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// Waits as the faults demand; false when the proxy has ended.
fn pass(shared: &Shared, length: usize, is_back: bool) -> bool {
    let faults = shared.faults();
    std::thread::sleep(faults.delay);
    if faults.bytes_per_second > 0 {
        let seconds = length as f64 / f64::from(faults.bytes_per_second);
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }
    loop {
        let faults = shared.faults();
        let is_held = faults.is_cut || (is_back && faults.is_half_open);
        if !is_held {
            return true;
        }
        if shared.is_stopped() {
            return false;
        }
        std::thread::sleep(POLL);
    }
}

fn relay_datagrams(shared: &Shared, socket: &UdpSocket) {
    let mut random = Pcg64Mcg::seed_from_u64(u64::from(socket.local_addr().unwrap().port()));
    let mut buffer = [0; 2048];
    let mut held: Vec<(Instant, Vec<u8>)> = Vec::new();
    socket.set_read_timeout(Some(POLL)).unwrap();
    while !shared.is_stopped() {
        let faults = shared.faults();
        if let Ok((length, _)) = socket.recv_from(&mut buffer)
            && !faults.is_cut
            && random.random_range(0..100) >= faults.loss_percent
        {
            let due = Instant::now() + faults.delay;
            let is_late = random.random_range(0..100) < faults.reorder_percent;
            let due = if is_late { due + POLL } else { due };
            held.push((due, buffer[..length].to_vec()));
            if random.random_range(0..100) < faults.duplicate_percent {
                held.push((due, buffer[..length].to_vec()));
            }
        }
        let now = Instant::now();
        for (_, datagram) in held.extract_if(.., |(due, _)| *due <= now) {
            let _ = socket.send_to(&datagram, shared.target);
        }
    }
}
