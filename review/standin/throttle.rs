//! A proxy that forwards to the client at the rate of a machine's link.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4_096;

/// Starts a proxy in front of `to`; all of its connections share `megabits` per second towards the client.
pub fn start_throttle(to: SocketAddr, megabits: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let link_free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else {
                continue;
            };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let (mut from_client, mut to_server) = (
                client.try_clone().expect("a socket"),
                server.try_clone().expect("a socket"),
            );
            thread::spawn(move || {
                let _ = std::io::copy(&mut from_client, &mut to_server);
                let _ = to_server.shutdown(std::net::Shutdown::Both);
            });
            let link_free_at = Arc::clone(&link_free_at);
            thread::spawn(move || forward(server, client, megabits, &link_free_at));
        }
    });
    address
}

fn forward(mut server: TcpStream, mut client: TcpStream, megabits: f64, free_at: &Mutex<Instant>) {
    let mut buf = [0; CHUNK_BYTES];
    loop {
        let len = match server.read(&mut buf) {
            Ok(len) if len > 0 => len,
            _ => break,
        };
        let until = {
            let mut free_at = free_at.lock().unwrap();
            let time = Duration::from_secs_f64(len as f64 * 8.0 / (megabits * 1e6));
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if client.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    let _ = client.shutdown(std::net::Shutdown::Both);
}
