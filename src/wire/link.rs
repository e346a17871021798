//! Authenticated TCP links.
//!
//! Both sides prove knowledge of the fleet secret with HMAC-SHA256 over fresh nonces. The link is
//! not encrypted.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Category, Error, Result};
use crate::wire::traffic;

/// Version of the link handshake and of the frames after it.
pub const LINK_VERSION: u32 = 1;

/// Maximum size of a handshake message in bytes; bounds what an unauthenticated peer can make a
/// process allocate.
const HANDSHAKE_MAX_BYTES: usize = 1_024;

/// Timeout of opening a connection; a packet that is lost in a partition is sent again only after a
/// second or more.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the whole handshake, so that an idle unauthenticated peer doesn't hold a socket.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// TCP user timeout: a link with data unacknowledged for this long is closed, so that a network
/// partition, in which no reset arrives, is detected.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between keepalive probes on an idle link.
///
/// In a fleet of 560, a node has about 1,100 links; probes every 2 s would alone take 45 KB/s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// Minimum length of a secret in bytes.
pub const SECRET_MIN_BYTES: usize = 16;

/// The shared secret of the fleet or of its operators; debug output redacts it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from bytes, trimming whitespace at both ends.
    ///
    /// # Errors
    ///
    /// Fails if the trimmed bytes are fewer than [`SECRET_MIN_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Secret> {
        let bytes = bytes.trim_ascii();
        if bytes.len() < SECRET_MIN_BYTES {
            return Err(Error::invalid(format!(
                "secret must have at least {SECRET_MIN_BYTES} bytes"
            )));
        }
        Ok(Secret(bytes.to_vec()))
    }

    /// Reads a secret from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is too short.
    pub fn read(path: &Path) -> Result<Secret> {
        let bytes = std::fs::read(path)
            .map_err(|e| Error::io(format!("secret file {}", path.display()), e))?;
        Secret::new(&bytes)
    }

    /// Returns true if `given` equals the secret; compares in constant time.
    pub fn matches(&self, given: &[u8]) -> bool {
        // Comparing digests of equal length doesn't reveal the secret's length.
        self.mac(&[b"match", &self.0]) == self.mac(&[b"match", given])
    }

    /// Returns the bytes of the secret, for the operator client's authorization header.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    fn mac(&self, parts: &[&[u8]]) -> Proof {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        Proof(mac.finalize().into_bytes().to_vec())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

struct Proof(Vec<u8>);

impl PartialEq for Proof {
    fn eq(&self, other: &Proof) -> bool {
        use subtle::ConstantTimeEq;
        self.0.ct_eq(&other.0).into()
    }
}

/// The kind of process at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// A node.
    Node = 0,
    /// A control process.
    Control = 1,
}

/// The protocol on a link after its handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Protocol {
    /// Length-delimited frames with `prost` messages.
    Frames = 0,
    /// HTTP/2 requests from an ingress to an egress.
    Http2 = 1,
}

/// The identity and protocol that one side of a link announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Kind of process.
    pub role: Role,
    /// Value of its `NodeId` or `ReplicaId`.
    pub id: u64,
    /// Protocol that the connecting side uses after the handshake.
    pub protocol: Protocol,
}

/// An authenticated connection.
#[derive(Debug)]
pub struct Link {
    /// The connection, after the handshake.
    pub stream: TcpStream,
    /// The identity and protocol of the other side.
    pub peer: Hello,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HelloMessage {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(enumeration = "Role", tag = "2")]
    role: i32,
    #[prost(uint64, tag = "3")]
    id: u64,
    #[prost(enumeration = "Protocol", tag = "4")]
    protocol: i32,
    #[prost(bytes = "vec", tag = "5")]
    nonce: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ProofMessage {
    #[prost(bytes = "vec", tag = "1")]
    proof: Vec<u8>,
}

impl HelloMessage {
    fn new(hello: Hello) -> Self {
        HelloMessage {
            version: LINK_VERSION,
            role: hello.role as i32,
            id: hello.id,
            protocol: hello.protocol as i32,
            nonce: rand::random::<[u8; 32]>().to_vec(),
        }
    }

    fn check(&self) -> Result<Hello> {
        if self.version != LINK_VERSION {
            return Err(Error::invalid(format!(
                "unsupported link version {}, expected {LINK_VERSION}",
                self.version
            )));
        }
        let role = Role::try_from(self.role).map_err(|_| Error::invalid("unknown link role"))?;
        let protocol = Protocol::try_from(self.protocol)
            .map_err(|_| Error::invalid("unknown link protocol"))?;
        Ok(Hello {
            role,
            id: self.id,
            protocol,
        })
    }
}

/// Connects to `addr` and performs the handshake.
///
/// # Errors
///
/// Fails with [`Category::Denied`] if the other side has a different secret, and with
/// [`Category::Io`] or [`Category::Unavailable`] if it can't be reached in time.
pub async fn connect(addr: SocketAddr, secret: &Secret, hello: Hello) -> Result<Link> {
    traffic::count_opened();
    let open = async {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::unavailable(format!("connection to {addr} timed out")))?
            .map_err(|e| Error::io(format!("connect to {addr}"), e))?;
        client_handshake(stream, secret, hello).await
    };
    timeout(HANDSHAKE_TIMEOUT, open)
        .await
        .map_err(|_| Error::unavailable(format!("link to {addr} timed out")))?
}

/// Performs the server side of the handshake on an accepted connection.
///
/// # Errors
///
/// Fails with [`Category::Denied`] if the other side has a different secret, with
/// [`Category::Invalid`] for malformed messages, and if the handshake times out.
pub async fn accept(stream: TcpStream, secret: &Secret, hello: Hello) -> Result<Link> {
    traffic::count_accepted();
    timeout(HANDSHAKE_TIMEOUT, server_handshake(stream, secret, hello))
        .await
        .map_err(|_| Error::unavailable("link handshake timed out"))?
}

async fn client_handshake(mut stream: TcpStream, secret: &Secret, hello: Hello) -> Result<Link> {
    set_socket_options(&stream)?;
    let own = HelloMessage::new(hello);
    write_message(&mut stream, &own).await?;
    let other: HelloMessage = read_message(&mut stream).await?;
    let proof: ProofMessage = read_message(&mut stream).await?;
    let peer = other.check()?;
    verify(secret, b"server", &own, &other, proof)?;
    let proof = prove(secret, b"client", &own, &other);
    write_message(&mut stream, &proof).await?;
    Ok(Link { stream, peer })
}

async fn server_handshake(mut stream: TcpStream, secret: &Secret, hello: Hello) -> Result<Link> {
    set_socket_options(&stream)?;
    let other: HelloMessage = read_message(&mut stream).await?;
    let peer = other.check()?;
    let own = HelloMessage::new(hello);
    write_message(&mut stream, &own).await?;
    let proof = prove(secret, b"server", &other, &own);
    write_message(&mut stream, &proof).await?;
    let proof: ProofMessage = read_message(&mut stream).await?;
    verify(secret, b"client", &other, &own, proof)?;
    Ok(Link { stream, peer })
}

fn prove(
    secret: &Secret,
    side: &[u8],
    first: &HelloMessage,
    second: &HelloMessage,
) -> ProofMessage {
    let mac = secret.mac(&[side, &first.encode_to_vec(), &second.encode_to_vec()]);
    ProofMessage { proof: mac.0 }
}

fn verify(
    secret: &Secret,
    side: &[u8],
    first: &HelloMessage,
    second: &HelloMessage,
    given: ProofMessage,
) -> Result<()> {
    let expected = secret.mac(&[side, &first.encode_to_vec(), &second.encode_to_vec()]);
    if expected != Proof(given.proof) {
        return Err(Error::new(
            Category::Denied,
            "the peer has a different fleet secret",
        ));
    }
    Ok(())
}

fn set_socket_options(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    Ok(())
}

// Messages are read with exact lengths, so that no byte of the protocol that follows the handshake
// is consumed.
async fn read_message<M: Message + Default>(stream: &mut TcpStream) -> Result<M> {
    let length = stream.read_u16().await? as usize;
    if length > HANDSHAKE_MAX_BYTES {
        return Err(Error::invalid("link handshake message is too long"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    M::decode(bytes.as_slice()).map_err(|e| Error::invalid(format!("link handshake: {e}")))
}

async fn write_message<M: Message>(stream: &mut TcpStream, message: &M) -> Result<()> {
    let body = message.encode_to_vec();
    let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await?;
    Ok(())
}
