//! A TCP proxy in front of a worker. While it is cut, it holds the bytes of both directions, and the
//! ends of connections, as a link does that loses every packet until it heals.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind(listen).map_err(|error| error.to_string())?;
        let proxy = Self { is_cut: Arc::new(AtomicBool::new(false)) };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().map_while(Result::ok) {
                accepting.wait();
                // A worker that does not listen refuses the connection.
                let Ok(worker) = TcpStream::connect(target) else {
                    reset(&caller);
                    continue;
                };
                let _ = (caller.set_nodelay(true), worker.set_nodelay(true));
                accepting.copy(&caller, &worker);
                accepting.copy(&worker, &caller);
            }
        });
        Ok(proxy)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn copy(&self, from: &TcpStream, to: &TcpStream) {
        let (proxy, mut from, mut to) =
            (self.clone(), from.try_clone().unwrap(), to.try_clone().unwrap());
        std::thread::spawn(move || {
            let mut bytes = vec![0; 65536];
            loop {
                let read = from.read(&mut bytes);
                proxy.wait();
                match read {
                    Ok(0) => {
                        let _ = to.shutdown(Shutdown::Write);
                        return;
                    }
                    Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
                    _ => {
                        reset(&to);
                        return;
                    }
                }
            }
        });
    }
}

/// Closes a connection abruptly.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
