//! A peer that writes handshake messages and frames directly, to test protocol violations.

use std::net::SocketAddr;

use ciborium::{Value, cbor};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::{WebSocketStream, client_async, tungstenite::Message};

pub struct RawPeer(pub WebSocketStream<TcpStream>);

impl RawPeer {
    pub async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        let (socket, _) = client_async(format!("ws://{addr}/link"), stream)
            .await
            .unwrap();
        Self(socket)
    }

    pub fn encode(&self, value: &Value) -> Vec<u8> {
        let mut buf = Vec::new();
        ciborium::into_writer(value, &mut buf).unwrap();
        buf
    }

    pub async fn write(&mut self, value: &Value) -> Vec<u8> {
        let buf = self.encode(value);
        self.0.send(Message::binary(buf.clone())).await.unwrap();
        buf
    }

    /// The next message; `None` when the connection ends.
    pub async fn read(&mut self) -> Option<Value> {
        match self.0.next().await {
            Some(Ok(Message::Binary(buf))) => Some(ciborium::from_reader(&buf[..]).unwrap()),
            _ => None,
        }
    }

    pub fn hello(vm: &str, version: u32) -> Value {
        cbor!({
            "min_version" => version,
            "max_version" => version + 5,
            "vm" => vm,
            "incarnation" => 1,
            "data_centre" => "dc-a",
            "nonce" => Value::Bytes(vec![7; 32]),
            "of_a_newer_version" => true,
        })
        .unwrap()
    }

    /// Opens a link as the VM `vm` with the key of [`key`](super::key).
    pub async fn open(addr: SocketAddr, vm: &str) -> Self {
        let mut raw = Self::connect(addr).await;
        let own_hello = raw.write(&Self::hello(vm, 1)).await;
        let answer = raw.read().await.unwrap();
        let peer_hello = field(&answer, "hello").as_bytes().unwrap().clone();
        let mut mac = Hmac::<Sha256>::new_from_slice(b"a key for the tests of links").unwrap();
        mac.update(b"oleanderpost link dialler");
        for part in [&own_hello, &peer_hello] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        let proof = mac.finalize().into_bytes().to_vec();
        raw.write(&cbor!({ "proof" => Value::Bytes(proof) }).unwrap())
            .await;
        assert_eq!(field(&raw.read().await.unwrap(), "refusal"), Value::Null);
        raw
    }

    pub async fn write_frame(&mut self, kind: u64, id: u64, body: Vec<u8>) {
        let frame =
            cbor!({ "k" => kind, "i" => id, "b" => Value::Bytes(body), "of_a_newer_version" => 1 });
        self.write(&frame.unwrap()).await;
    }
}

pub fn field(value: &Value, field: &str) -> Value {
    let fields = value.as_map().unwrap();
    let found = fields
        .iter()
        .find(|(name, _)| name.as_text() == Some(field));
    found.map_or(Value::Null, |(_, value)| value.clone())
}
