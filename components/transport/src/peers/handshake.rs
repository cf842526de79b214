//! The first exchange on a link: who speaks, and whether it is a member.

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

/// A link whose peer has said who it is.
pub struct Met {
    /// The peer's key.
    pub peer: HostKey,
    /// What the peer said.
    pub hello: Hello,
    /// The frames that come in.
    pub reader: Reader,
    /// Where frames go out.
    pub writer: OwnedWriteHalf,
}

/// Why two hosts did not meet.
#[derive(Debug, Error)]
pub enum MeetError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer said nothing in time, or hung up.
    #[error("the peer said nothing")]
    Silent,
    /// The peer's bytes are no message.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The peer only asked for the configuration.
    #[error("the peer asked for the configuration")]
    Asked,
    /// This host refused the peer.
    #[error("the peer was refused: {0:?}")]
    Refused(RefusedReason),
    /// The peer refused this host.
    #[error("the peer refused this host: {0:?}")]
    RefusedBy(Refused),
}

impl MeetError {
    /// Returns whether one of the two is not known to the other as a member.
    pub fn is_no_member(&self) -> bool {
        match self {
            MeetError::Refused(reason) => *reason == RefusedReason::NoMember,
            MeetError::RefusedBy(refused) => refused.reason == RefusedReason::NoMember,
            _ => false,
        }
    }

    /// Returns the reason's name, as metrics name it.
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

/// Meets a peer that this host dialled.
///
/// # Errors
///
/// Says why the two did not meet.
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

/// Meets a peer that dialled this host. `hello` lacks the peer's name yet.
///
/// # Errors
///
/// Says why the two did not meet.
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

/// Hands the configuration to a host that starts while the log is down.
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

/// Asks the host at `address` for its configuration, without being a member.
///
/// # Errors
///
/// Says why none came.
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

/// Checks that a hello is meant for this host and comes from a member.
///
/// A host that was removed while it was paused still believes itself a member;
/// its messages about slots it no longer owns must reach nobody.
fn check(hello: &Hello, me: &str, config: &Config) -> Result<(), RefusedReason> {
    let member = config.members.get(&HostKey::named(&hello.name));
    match member {
        _ if hello.to != me || hello.name == me => Err(RefusedReason::OtherHost),
        Some(m) if m.incarnation == hello.incarnation => Ok(()),
        _ => Err(RefusedReason::NoMember),
    }
}

/// Limits frames to a hello's size, so that a stranger can't make this host set memory aside.
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
