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
use super::{HELLO_TIMEOUT, counters};

/// Reads the frames of one link.
pub type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// A link whose handshake is complete.
pub struct Met {
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
pub enum MeetError {
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

impl MeetError {
    /// Returns whether one of the two hosts does not know the other one as a member.
    pub fn is_no_member(&self) -> bool {
        match self {
            MeetError::Refused(reason) => *reason == RefusedReason::NoMember,
            MeetError::RefusedBy(refused) => refused.reason == RefusedReason::NoMember,
            _ => false,
        }
    }

    /// Returns the reason as the metrics' label.
    pub fn label(&self) -> &'static str {
        match self {
            MeetError::Io(e) if e.kind() == io::ErrorKind::InvalidData => "oversized",
            MeetError::Io(_) => "broken",
            MeetError::Silent => "silent",
            MeetError::Protocol(ProtocolError::Version(_)) => "version",
            MeetError::Protocol(_) => "damaged",
            MeetError::Asked => "asked",
            MeetError::Refused(RefusedReason::NoMember) => "no_member",
            MeetError::Refused(_) => "no_hello",
            MeetError::RefusedBy(_) => "refused_by_peer",
        }
    }
}

/// Performs the handshake with a peer that this host dialled.
///
/// # Errors
///
/// Returns why the handshake failed.
pub async fn greet(
    stream: TcpStream,
    hello: &Hello,
    config: impl Fn() -> Arc<Config>,
) -> Result<Met, MeetError> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = limited(reader);
    write(&mut writer, &PeerMessage::Hello(hello.clone())).await?;
    match read(&mut reader).await? {
        PeerMessage::Hello(theirs) => {
            check(&theirs, &hello.name, &config()).map_err(MeetError::Refused)?;
            Ok(met(theirs, reader, writer))
        }
        PeerMessage::Refused(refused) => Err(MeetError::RefusedBy(refused)),
        _ => Err(MeetError::Refused(RefusedReason::NoHello)),
    }
}

/// Performs the handshake with a peer that dialled this host.
///
/// The field `to` of `hello` is filled in here, with the name that the peer gives.
///
/// # Errors
///
/// Returns why the handshake failed.
pub async fn answer(
    stream: TcpStream,
    mut hello: Hello,
    config: impl Fn() -> Arc<Config>,
    receive: &Arc<dyn MessageHandler>,
) -> Result<Met, MeetError> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = limited(reader);
    let checked = match read(&mut reader).await? {
        PeerMessage::AskConfig => {
            hand_over(&mut writer, receive).await?;
            return Err(MeetError::Asked);
        }
        PeerMessage::Hello(theirs) => check(&theirs, &hello.name, &config()).map(|()| theirs),
        _ => Err(RefusedReason::NoHello),
    };
    match checked {
        Ok(theirs) => {
            hello.to.clone_from(&theirs.name);
            write(&mut writer, &PeerMessage::Hello(hello)).await?;
            Ok(met(theirs, reader, writer))
        }
        Err(reason) => {
            let refused = Refused {
                reason,
                revision: hello.revision,
                offset: hello.offset,
            };
            write(&mut writer, &PeerMessage::Refused(refused)).await?;
            Err(MeetError::Refused(reason))
        }
    }
}

/// Sends the configuration to a host that starts while the store is down.
async fn hand_over(
    writer: &mut OwnedWriteHalf,
    receive: &Arc<dyn MessageHandler>,
) -> Result<(), MeetError> {
    let receive = Arc::clone(receive);
    let offer = tokio::task::spawn_blocking(move || receive.offer()).await;
    match offer {
        Ok(Some(offer)) => write(writer, &PeerMessage::Config(offer)).await,
        _ => Err(MeetError::Silent),
    }
}

/// Requests the configuration from the host at `address`; the caller need not be a member.
///
/// # Errors
///
/// Returns why no configuration was received.
pub async fn fetch_config(address: SocketAddr) -> Result<ConfigOffer, MeetError> {
    let stream = timeout(HELLO_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| MeetError::Silent)??;
    let (reader, mut writer) = stream.into_split();
    let mut reader = limited(reader);
    reader.decoder_mut().set_max_frame_length(MESSAGE_LIMIT);
    write(&mut writer, &PeerMessage::AskConfig).await?;
    match read(&mut reader).await? {
        PeerMessage::Config(offer) => Ok(offer),
        PeerMessage::Refused(refused) => Err(MeetError::RefusedBy(refused)),
        _ => Err(MeetError::Refused(RefusedReason::NoHello)),
    }
}

/// Checks that a hello is addressed to this host and comes from a current member.
///
/// A host that was removed while it was paused still takes itself for a member;
/// its messages about slots that it no longer owns must be refused.
fn check(hello: &Hello, me: &str, config: &Config) -> Result<(), RefusedReason> {
    let member = config.members.get(&HostKey::named(&hello.name));
    match member {
        _ if hello.to != me || hello.name == me => Err(RefusedReason::OtherHost),
        Some(m) if m.incarnation == hello.incarnation => Ok(()),
        _ => Err(RefusedReason::NoMember),
    }
}

/// Returns a reader that limits frames to a hello's size.
///
/// An unknown peer could otherwise make this host allocate memory for a large frame.
fn limited(reader: OwnedReadHalf) -> Reader {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HELLO_LIMIT)
        .new_codec();
    FramedRead::with_capacity(reader, codec, HELLO_LIMIT)
}

fn met(hello: Hello, mut reader: Reader, writer: OwnedWriteHalf) -> Met {
    reader.decoder_mut().set_max_frame_length(MESSAGE_LIMIT);
    Met {
        peer: HostKey::named(&hello.name),
        hello,
        reader,
        writer,
    }
}

async fn read(reader: &mut Reader) -> Result<PeerMessage, MeetError> {
    let frame = timeout(HELLO_TIMEOUT, reader.next())
        .await
        .ok()
        .flatten()
        .ok_or(MeetError::Silent)??;
    counters::received(frame.len());
    Ok(PeerMessage::decode(frame.freeze())?)
}

async fn write(writer: &mut OwnedWriteHalf, message: &PeerMessage) -> Result<(), MeetError> {
    let bytes: Bytes = message.encode();
    let mut buffer = BytesMut::new();
    frame(&mut buffer, &bytes);
    counters::sent(buffer.len());
    within(HELLO_TIMEOUT, writer.write_all(&buffer)).await
}

async fn within(
    limit: Duration,
    write: impl Future<Output = io::Result<()>>,
) -> Result<(), MeetError> {
    let written = timeout(limit, write).await.map_err(|_| MeetError::Silent)?;
    Ok(written?)
}
