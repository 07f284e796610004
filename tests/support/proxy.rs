//! Fault-injecting proxy: relays TCP and UDP from one address to one target.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::bind_tcp_and_udp;

/// Interval at which the threads of a proxy check for changed faults, new connections and
/// datagrams.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults that a proxy injects.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Drops datagrams and withholds TCP data while connections stay open, as in a network
    /// partition without resets.
    pub is_cut: bool,
    /// Withholds the data that the target sends on TCP connections.
    pub is_half_open: bool,
    /// Closes a TCP connection once the target has sent this many bytes on it; 0 for never.
    pub truncate_after: usize,
    /// Delay of all traffic.
    pub delay: Duration,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: u32,
    /// Share of datagrams that are duplicated, in percent.
    pub duplicate_percent: u32,
    /// Share of datagrams that are delayed by a further 5 ms, so that later ones overtake them, in
    /// percent.
    pub reorder_percent: u32,
    /// Bandwidth of each direction of a TCP connection in bytes per second; 0 for no limit.
    pub bytes_per_second: u32,
}

/// State that the threads of a proxy share.
struct ProxyState {
    target: SocketAddr,
    faults: Mutex<Faults>,
    connections: Mutex<Vec<TcpStream>>,
    is_stopped: AtomicBool,
}

impl ProxyState {
    fn faults(&self) -> Faults {
        self.faults.lock().unwrap().clone()
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

/// A running proxy; it stops and closes its connections when it is dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<ProxyState>,
}

impl Proxy {
    /// Starts a proxy to `target` without faults on a free address.
    pub fn start(target: SocketAddr) -> Self {
        Self::start_on(bind_tcp_and_udp(), target)
    }

    /// Starts a proxy to `target` without faults at `address`.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        Self::start_on((listener, UdpSocket::bind(address).unwrap()), target)
    }

    fn start_on((listener, socket): (TcpListener, UdpSocket), target: SocketAddr) -> Self {
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(ProxyState {
            target,
            faults: Mutex::default(),
            connections: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let accept_state = shared.clone();
        std::thread::spawn(move || accept_connections(&accept_state, &listener));
        let relay_state = shared.clone();
        std::thread::spawn(move || relay_datagrams(&relay_state, &socket));
        Self { address, shared }
    }

    /// Returns the address at which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults; the change also applies to open connections.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().unwrap());
    }

    /// Closes all TCP connections.
    pub fn reset(&self) {
        for stream in self.shared.connections.lock().unwrap().drain(..) {
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

fn accept_connections(shared: &Arc<ProxyState>, listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                std::thread::spawn(move || relay_connection(&shared, stream));
            }
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Connects to the target once the link is not cut, and relays both directions.
fn relay_connection(shared: &Arc<ProxyState>, client: TcpStream) {
    client.set_nonblocking(false).unwrap();
    while shared.faults().is_cut && !shared.is_stopped() {
        std::thread::sleep(POLL_INTERVAL);
    }
    let Ok(server) = TcpStream::connect(shared.target) else {
        return;
    };
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        shared.connections.lock().unwrap().push(stream.try_clone().unwrap());
    }
    let (client_writer, server_reader) = (client.try_clone().unwrap(), server.try_clone().unwrap());
    let response_state = shared.clone();
    std::thread::spawn(move || relay_bytes(&response_state, server_reader, client_writer, true));
    relay_bytes(shared, client, server, false);
}

/// Relays one direction of a TCP connection; `is_response` marks the direction from the target.
fn relay_bytes(shared: &ProxyState, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
    let mut buffer = [0; 16 << 10];
    let mut relayed = 0;
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
        if is_response && truncate_after > 0 && relayed + length > truncate_after {
            let _ = to.write_all(&buffer[..truncate_after.saturating_sub(relayed)]);
            let _ = from.shutdown(std::net::Shutdown::Both);
            break;
        }
        relayed += length;
        if !wait_to_forward(shared, length, is_response) || to.write_all(&buffer[..length]).is_err()
        {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// Waits for the delay, the bandwidth and the end of a cut before `length` bytes are forwarded;
/// returns false if the proxy has stopped.
fn wait_to_forward(shared: &ProxyState, length: usize, is_response: bool) -> bool {
    let faults = shared.faults();
    std::thread::sleep(faults.delay);
    if faults.bytes_per_second > 0 {
        let seconds = length as f64 / f64::from(faults.bytes_per_second);
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }
    loop {
        let faults = shared.faults();
        let is_withheld = faults.is_cut || (is_response && faults.is_half_open);
        if !is_withheld {
            return true;
        }
        if shared.is_stopped() {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Relays datagrams to the target with the configured faults. The random numbers are seeded with
/// the proxy's port.
fn relay_datagrams(shared: &ProxyState, socket: &UdpSocket) {
    let mut random = Pcg64Mcg::seed_from_u64(u64::from(socket.local_addr().unwrap().port()));
    let mut buffer = [0; 2048];
    let mut pending: Vec<(Instant, Vec<u8>)> = Vec::new();
    socket.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    while !shared.is_stopped() {
        let faults = shared.faults();
        if let Ok((length, _)) = socket.recv_from(&mut buffer)
            && !faults.is_cut
            && random.random_range(0..100) >= faults.loss_percent
        {
            let deliver_at = Instant::now() + faults.delay;
            let is_reordered = random.random_range(0..100) < faults.reorder_percent;
            let deliver_at = if is_reordered { deliver_at + POLL_INTERVAL } else { deliver_at };
            pending.push((deliver_at, buffer[..length].to_vec()));
            if random.random_range(0..100) < faults.duplicate_percent {
                pending.push((deliver_at, buffer[..length].to_vec()));
            }
        }
        let now = Instant::now();
        for (_, datagram) in pending.extract_if(.., |(deliver_at, _)| *deliver_at <= now) {
            let _ = socket.send_to(&datagram, shared.target);
        }
    }
}
