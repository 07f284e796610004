//! A crowd of clients that stop half-way: each opens a connection, sends half of a head, and neither
//! sends nor reads any more. A client whose connection is reset, or that has waited for long, opens
//! another one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Pause between two looks at all connections.
const PAUSE: Duration = Duration::from_millis(20);

/// Time for which a client waits.
const PATIENCE: Duration = Duration::from_millis(8500);

struct Client {
    stream: TcpStream,
    since: Instant,
}

impl Client {
    fn open(address: SocketAddr) -> Option<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
        stream.write_all(b"POST /charge/1 HTTP/1.1\r\nHost: ficu95.example\r\nReq").ok()?;
        Some(Self { stream, since: Instant::now() })
    }

    fn is_waiting(&self) -> bool {
        matches!(self.stream.take_error(), Ok(None)) && self.since.elapsed() < PATIENCE
    }
}

/// Keeps connections open until the process that started it ends.
pub fn run(arguments: &[String]) -> Result<(), String> {
    let [address, count] = arguments else {
        return Err("crowd ADDRESS COUNT".to_string());
    };
    let address: SocketAddr = address.parse().map_err(|_| "ADDRESS".to_string())?;
    let count: usize = count.parse().map_err(|_| "COUNT".to_string())?;
    std::thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0);
    });
    let mut clients: Vec<Option<Client>> = (0..count).map(|_| None).collect();
    loop {
        for client in &mut clients {
            if !client.as_ref().is_some_and(Client::is_waiting) {
                *client = Client::open(address);
            }
        }
        std::thread::sleep(PAUSE);
    }
}
