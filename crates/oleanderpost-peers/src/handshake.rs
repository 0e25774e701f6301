//! Handshake of a link: both sides exchange versions and identities and prove that they have the shared key.
//!
//! 1. The dialling node sends a [`Hello`] with its versions, its identity and a fresh nonce.
//! 2. The listening node answers with its own [`Hello`] and a proof over both hellos.
//! 3. The dialling node sends its proof over both hellos.
//! 4. The listening node accepts or refuses.
//!
//! A proof covers both nonces and a label of its side, so that a replayed or reflected proof fails.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use oleanderpost_types::{DataCentre, Incarnation, VmId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

use crate::{
    frame::{decode, encode},
    shared_key::SharedKey,
};

/// Oldest protocol version that this node supports.
pub(crate) const MIN_VERSION: u32 = 1;
/// Newest protocol version that this node supports.
pub(crate) const MAX_VERSION: u32 = 1;

const NONCE_LEN: usize = 32;
const DIALLER_LABEL: &[u8] = b"oleanderpost link dialler";
const LISTENER_LABEL: &[u8] = b"oleanderpost link listener";

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Identity of a node.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentre,
}

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Refusal {
    /// The two sides have no protocol version in common.
    Version,
    /// The proof of the shared key is invalid.
    Key,
    /// The other side is this node itself.
    Oneself,
    /// The other side is not the VM that was dialled.
    WrongPeer,
    /// A later process of the same VM is known.
    OldIncarnation,
    /// A handshake message is invalid, or the connection failed.
    Broken,
    /// A reason that a newer version added.
    #[serde(other)]
    Other,
}

impl Refusal {
    pub(crate) fn description(self) -> &'static str {
        match self {
            Self::Version => "no common protocol version",
            Self::Key => "wrong shared key",
            Self::Oneself => "peer is this node itself",
            Self::WrongPeer => "another VM answered",
            Self::OldIncarnation => "a later incarnation is known",
            Self::Broken => "handshake broken off",
            Self::Other => "refused",
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Hello {
    min_version: u32,
    max_version: u32,
    vm: VmId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    nonce: Bytes,
}

#[derive(Debug, Serialize, Deserialize)]
struct HelloAnswer {
    #[serde(default)]
    hello: Bytes,
    #[serde(default)]
    proof: Bytes,
    #[serde(default)]
    refusal: Option<Refusal>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Proof {
    proof: Bytes,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct HandshakeResult {
    #[serde(default)]
    refusal: Option<Refusal>,
}

impl Hello {
    fn new(own: &Identity, nonce: [u8; NONCE_LEN]) -> Self {
        Self {
            min_version: MIN_VERSION,
            max_version: MAX_VERSION,
            vm: own.vm.clone(),
            incarnation: own.incarnation,
            data_centre: own.data_centre.clone(),
            nonce: Bytes::copy_from_slice(&nonce),
        }
    }

    fn check(&self, own: &Identity) -> Result<(), Refusal> {
        if self.min_version > MAX_VERSION || self.max_version < MIN_VERSION {
            return Err(Refusal::Version);
        }
        if self.vm == own.vm {
            return Err(Refusal::Oneself);
        }
        if self.nonce.len() < NONCE_LEN {
            return Err(Refusal::Broken);
        }
        Ok(())
    }

    fn into_identity(self) -> Identity {
        Identity {
            vm: self.vm,
            incarnation: self.incarnation,
            data_centre: self.data_centre,
        }
    }
}

async fn read(socket: &mut Socket) -> Result<Bytes, Refusal> {
    match socket.next().await {
        Some(Ok(Message::Binary(buf))) => Ok(buf),
        _ => Err(Refusal::Broken),
    }
}

async fn read_as<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, Refusal> {
    let buf = read(socket).await?;
    decode(&buf).map_err(|_| Refusal::Broken)
}

async fn write<T: Serialize>(socket: &mut Socket, value: &T) -> Result<Bytes, Refusal> {
    let buf = encode(value).map_err(|_| Refusal::Broken)?;
    let sent = socket.send(Message::Binary(buf.clone())).await;
    sent.map_err(|_| Refusal::Broken)?;
    Ok(buf)
}

/// Runs the dialling side; returns the identity of the peer once both sides have proved the key.
pub(crate) async fn dial(
    socket: &mut Socket,
    own: &Identity,
    peer: &VmId,
    key: &SharedKey,
    nonce: [u8; NONCE_LEN],
) -> Result<Identity, Refusal> {
    let own_hello = write(socket, &Hello::new(own, nonce)).await?;
    let answer: HelloAnswer = read_as(socket).await?;
    if let Some(refusal) = answer.refusal {
        return Err(refusal);
    }
    if !key.verify(LISTENER_LABEL, &[&own_hello, &answer.hello], &answer.proof) {
        return Err(Refusal::Key);
    }
    let peer_hello: Hello = decode(&answer.hello).map_err(|_| Refusal::Broken)?;
    peer_hello.check(own)?;
    if peer_hello.vm != *peer {
        return Err(Refusal::WrongPeer);
    }
    let proof = key
        .prove(DIALLER_LABEL, &[&own_hello, &answer.hello])
        .into();
    write(socket, &Proof { proof }).await?;
    let result: HandshakeResult = read_as(socket).await?;
    result.refusal.map_or(Ok(peer_hello.into_identity()), Err)
}

/// Runs the listening side; `admit` can still refuse a peer that has proved the key.
pub(crate) async fn accept(
    socket: &mut Socket,
    own: &Identity,
    key: &SharedKey,
    nonce: [u8; NONCE_LEN],
    admit: impl FnOnce(&Identity) -> Result<(), Refusal>,
) -> Result<Identity, Refusal> {
    let hello_bytes = read(socket).await?;
    let peer_hello: Hello = decode(&hello_bytes).map_err(|_| Refusal::Broken)?;
    if let Err(refusal) = peer_hello.check(own) {
        let answer = HelloAnswer {
            hello: Bytes::new(),
            proof: Bytes::new(),
            refusal: Some(refusal),
        };
        write(socket, &answer).await?;
        return Err(refusal);
    }
    let own_hello = encode(&Hello::new(own, nonce)).map_err(|_| Refusal::Broken)?;
    let answer = HelloAnswer {
        hello: own_hello.clone(),
        proof: key
            .prove(LISTENER_LABEL, &[&hello_bytes, &own_hello])
            .into(),
        refusal: None,
    };
    write(socket, &answer).await?;
    let proof: Proof = read_as(socket).await?;
    let peer_identity = peer_hello.into_identity();
    let result = if key.verify(DIALLER_LABEL, &[&hello_bytes, &own_hello], &proof.proof) {
        admit(&peer_identity)
    } else {
        Err(Refusal::Key)
    };
    let refusal = result.err();
    write(socket, &HandshakeResult { refusal }).await?;
    result.map(|()| peer_identity)
}
