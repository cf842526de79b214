//! The handshake of a link: each end names itself and checks that the other one is a member.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use protocol::peer::{ConfigOffer, HELLO_LIMIT, Hello, MESSAGE_LIMIT, Refused, RefusedReason};
use protocol::{PeerMessage, ProtocolError};
use state::{Config, HostKey};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use super::links::MessageHandler;
use super::outbox::frame;
use super::{HANDSHAKE_TIMEOUT, counters};

/// Reads the frames of one link.
pub type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// A link whose handshake is complete.
pub struct PeerConnection {
    /// The peer's key.
    pub peer: HostKey,
    /// The peer's hello message.
    pub hello: Hello,
    /// The incoming frames.
    pub reader: Reader,
    /// The sending half of the connection.
    pub writer: OwnedWriteHalf,
}

/// Why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer did not answer in time, or closed the connection.
    #[error("the peer did not answer")]
    Silent,
    /// The peer's bytes can't be decoded as a message.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The peer requested the configuration only; no link was wanted.
    #[error("the peer requested the configuration only")]
    Asked,
    /// This host refused the peer.
    #[error("the peer was refused: {0:?}")]
    Refused(RefusedReason),
    /// The peer refused this host.
    #[error("the peer refused this host: {0:?}")]
    RefusedBy(Refused),
}

impl HandshakeError {
    /// Returns whether one of the two hosts does not know the other one as a member.
    pub fn is_membership_error(&self) -> bool {
        match self {
            HandshakeError::Refused(reason) => *reason == RefusedReason::NoMember,
            HandshakeError::RefusedBy(refused) => refused.reason == RefusedReason::NoMember,
            _ => false,
        }
    }

    /// Returns the reason as the metrics' label.
    pub fn label(&self) -> &'static str {
        match self {
            HandshakeError::Io(e) if e.kind() == io::ErrorKind::InvalidData => "oversized",
            HandshakeError::Io(_) => "broken",
            HandshakeError::Silent => "silent",
            HandshakeError::Protocol(ProtocolError::Version(_)) => "version",
            HandshakeError::Protocol(_) => "damaged",
            HandshakeError::Asked => "asked",
            HandshakeError::Refused(RefusedReason::NoMember) => "no_member",
            HandshakeError::Refused(_) => "no_hello",
            HandshakeError::RefusedBy(_) => "refused_by_peer",
        }
    }
}

/// Performs the handshake with a peer that this host dialled.
///
/// # Errors
///
/// Returns why the handshake failed.
pub async fn initiate(
    stream: TcpStream,
    hello: &Hello,
    config: impl Fn() -> Arc<Config>,
) -> Result<PeerConnection, HandshakeError> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = limited_reader(reader);
    write(&mut writer, &PeerMessage::Hello(hello.clone())).await?;
    match read(&mut reader).await? {
        PeerMessage::Hello(theirs) => {
            check_hello(&theirs, &hello.name, &config()).map_err(HandshakeError::Refused)?;
            Ok(connection(theirs, reader, writer))
        }
        PeerMessage::Refused(refused) => Err(HandshakeError::RefusedBy(refused)),
        _ => Err(HandshakeError::Refused(RefusedReason::NoHello)),
    }
}

/// Performs the handshake with a peer that dialled this host.
///
/// The field `to` of `hello` is filled in here, with the name that the peer gives.
///
/// # Errors
///
/// Returns why the handshake failed.
pub async fn accept(
    stream: TcpStream,
    mut hello: Hello,
    config: impl Fn() -> Arc<Config>,
    handler: &Arc<dyn MessageHandler>,
) -> Result<PeerConnection, HandshakeError> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = limited_reader(reader);
    let checked = match read(&mut reader).await? {
        PeerMessage::AskConfig => {
            send_config(&mut writer, handler).await?;
            return Err(HandshakeError::Asked);
        }
        PeerMessage::Hello(theirs) => check_hello(&theirs, &hello.name, &config()).map(|()| theirs),
        _ => Err(RefusedReason::NoHello),
    };
    match checked {
        Ok(theirs) => {
            hello.to.clone_from(&theirs.name);
            write(&mut writer, &PeerMessage::Hello(hello)).await?;
            Ok(connection(theirs, reader, writer))
        }
        Err(reason) => {
            let refused = Refused {
                reason,
                revision: hello.revision,
                offset: hello.offset,
            };
            write(&mut writer, &PeerMessage::Refused(refused)).await?;
            Err(HandshakeError::Refused(reason))
        }
    }
}

/// Sends the configuration to a host that starts while the store is down.
async fn send_config(
    writer: &mut OwnedWriteHalf,
    handler: &Arc<dyn MessageHandler>,
) -> Result<(), HandshakeError> {
    let handler = Arc::clone(handler);
    let offer = tokio::task::spawn_blocking(move || handler.config_offer()).await;
    match offer {
        Ok(Some(offer)) => write(writer, &PeerMessage::Config(offer)).await,
        _ => Err(HandshakeError::Silent),
    }
}

/// Requests the configuration from the host at `address`; the caller need not be a member.
///
/// # Errors
///
/// Returns why no configuration was received.
pub async fn fetch_config(address: SocketAddr) -> Result<ConfigOffer, HandshakeError> {
    let stream = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| HandshakeError::Silent)??;
    let (reader, mut writer) = stream.into_split();
    let mut reader = limited_reader(reader);
    reader.decoder_mut().set_max_frame_length(MESSAGE_LIMIT);
    write(&mut writer, &PeerMessage::AskConfig).await?;
    match read(&mut reader).await? {
        PeerMessage::Config(offer) => Ok(offer),
        PeerMessage::Refused(refused) => Err(HandshakeError::RefusedBy(refused)),
        _ => Err(HandshakeError::Refused(RefusedReason::NoHello)),
    }
}

/// Checks that a hello is addressed to this host and comes from a current member.
///
/// A host that was removed while it was paused still takes itself for a member;
/// its messages about slots that it no longer owns must be refused.
fn check_hello(hello: &Hello, own_name: &str, config: &Config) -> Result<(), RefusedReason> {
    let member = config.members.get(&HostKey::named(&hello.name));
    match member {
        _ if hello.to != own_name || hello.name == own_name => Err(RefusedReason::OtherHost),
        Some(m) if m.incarnation == hello.incarnation => Ok(()),
        _ => Err(RefusedReason::NoMember),
    }
}

/// Returns a reader that limits frames to a hello's size.
///
/// An unknown peer could otherwise make this host allocate memory for a large frame.
fn limited_reader(reader: OwnedReadHalf) -> Reader {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HELLO_LIMIT)
        .new_codec();
    FramedRead::with_capacity(reader, codec, HELLO_LIMIT)
}

fn connection(hello: Hello, mut reader: Reader, writer: OwnedWriteHalf) -> PeerConnection {
    reader.decoder_mut().set_max_frame_length(MESSAGE_LIMIT);
    PeerConnection {
        peer: HostKey::named(&hello.name),
        hello,
        reader,
        writer,
    }
}

async fn read(reader: &mut Reader) -> Result<PeerMessage, HandshakeError> {
    let frame = timeout(HANDSHAKE_TIMEOUT, reader.next())
        .await
        .ok()
        .flatten()
        .ok_or(HandshakeError::Silent)??;
    counters::count_received(frame.len());
    Ok(PeerMessage::decode(frame.freeze())?)
}

async fn write(writer: &mut OwnedWriteHalf, message: &PeerMessage) -> Result<(), HandshakeError> {
    let bytes: Bytes = message.encode();
    let mut buffer = BytesMut::new();
    frame(&mut buffer, &bytes);
    counters::count_sent(buffer.len());
    within(HANDSHAKE_TIMEOUT, writer.write_all(&buffer)).await
}

async fn within(
    limit: Duration,
    write: impl Future<Output = io::Result<()>>,
) -> Result<(), HandshakeError> {
    let written = timeout(limit, write)
        .await
        .map_err(|_| HandshakeError::Silent)?;
    Ok(written?)
}
