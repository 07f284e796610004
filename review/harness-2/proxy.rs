//! A TCP proxy in front of a worker. While the link is cut, it withholds the bytes of both directions
//! and the ends of connections, and it delivers them when the cut heals.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Proxy {
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy from `listen` to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Self { is_cut: Arc::default() };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().map_while(Result::ok) {
                let proxy = accepting.clone();
                std::thread::spawn(move || proxy.relay(&caller, target));
            }
        });
        Ok(proxy)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn relay(&self, caller: &TcpStream, target: SocketAddr) {
        self.wait();
        let Ok(worker) = TcpStream::connect(target) else {
            let _ = caller.shutdown(Shutdown::Both);
            return;
        };
        let _ = (caller.set_nodelay(true), worker.set_nodelay(true));
        self.copy(caller, &worker);
        self.copy(&worker, caller);
    }

    fn copy(&self, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 16384];
            loop {
                let read = from.read(&mut bytes);
                proxy.wait();
                match read {
                    Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
                    Ok(0) => {
                        let _ = to.shutdown(Shutdown::Write);
                        return;
                    }
                    _ => {
                        let _ = to.shutdown(Shutdown::Both);
                        return;
                    }
                }
            }
        });
    }
}
