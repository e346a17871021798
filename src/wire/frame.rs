//! Frames: length-delimited `prost` messages.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::{Error, Result};

/// Maximum size of a frame in bytes; larger snapshots are sent in chunks.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The protocol that a frame belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Channel {
    /// Replication among control processes.
    Replica = 0,
    /// Configuration sync from control processes to nodes.
    Sync = 1,
    /// Gossip among nodes.
    Gossip = 2,
    /// Leases and credit for rate limits.
    Limit = 3,
    /// Claims of idempotency keys.
    Idempotency = 4,
}

/// One message on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the call on this link; its response has the same number.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The [`Channel`] of the message.
    #[prost(enumeration = "Channel", tag = "2")]
    pub channel: i32,
    /// True for a response, false for a request.
    #[prost(bool, tag = "3")]
    pub reply: bool,
    /// The encoded message of the channel.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
    /// Error text of a failed call; empty on success.
    #[prost(string, tag = "5")]
    pub error: String,
}

/// Encodes and decodes frames on a byte stream.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames larger than [`FRAME_MAX_BYTES`].
    pub fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        FrameCodec { lengths }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        FrameCodec::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>> {
        let Some(bytes) = self.lengths.decode(src)? else {
            return Ok(None);
        };
        Frame::decode(bytes.freeze())
            .map(Some)
            .map_err(|e| Error::invalid(format!("frame: {e}")))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<()> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, dst)?;
        Ok(())
    }
}
