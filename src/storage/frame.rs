//! The format of the log: superblocks at the start, then checksummed frames.

use crc32c::crc32c;

use super::{RECORD_MAX_BYTES, Record};

/// The start of every log file; the digit is the version of the format.
const MAGIC: &[u8; 8] = b"laburnL1";

/// Size of a sector; each superblock has its own, so that a torn write of one leaves the other intact.
const SECTOR_BYTES: usize = 512;

/// Offset of the first frame: the magic and each of two superblocks take a sector.
pub(super) const FRAMES_START: usize = 3 * SECTOR_BYTES;

/// Sequence, length and checksum of a superblock.
const SUPERBLOCK_BYTES: usize = 8 + 8 + 4;

/// Checksum, length, kind and index of a frame.
const HEADER_BYTES: usize = 4 + 4 + 1 + 8;

/// Records that the first `length` bytes of the log are synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Superblock {
    /// Increases with each write; its parity selects the sector.
    pub(super) sequence: u64,
    pub(super) length: u64,
}

impl Superblock {
    /// Returns the offset of the superblock in the file.
    pub(super) fn offset(self) -> u64 {
        let sector = 1 + (self.sequence % 2) as usize;
        (sector * SECTOR_BYTES) as u64
    }

    pub(super) fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(SUPERBLOCK_BYTES);
        bytes.extend(self.sequence.to_le_bytes());
        bytes.extend(self.length.to_le_bytes());
        bytes.extend(crc32c(&bytes).to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Superblock> {
        let (content, sum) = bytes.get(..SUPERBLOCK_BYTES)?.split_at(16);
        let is_valid = crc32c(content).to_le_bytes() == sum;
        is_valid.then(|| Superblock {
            sequence: u64_at(content, 0),
            length: u64_at(content, 8),
        })
    }

    /// Returns the latest valid superblock of a log file.
    pub(super) fn find(file: &[u8]) -> Option<Superblock> {
        if !file.starts_with(MAGIC) {
            return None;
        }
        let read = |sector: usize| {
            let superblock = Superblock::decode(file.get(sector * SECTOR_BYTES..)?)?;
            (superblock.offset() == (sector * SECTOR_BYTES) as u64).then_some(superblock)
        };
        [read(1), read(2)]
            .into_iter()
            .flatten()
            .max_by_key(|s| s.sequence)
    }
}

/// Returns a log file with `frames`, and its superblock.
pub(super) fn log_file(frames: &[u8]) -> (Vec<u8>, Superblock) {
    let superblock = Superblock {
        sequence: 1,
        length: (FRAMES_START + frames.len()) as u64,
    };
    let mut file = vec![0; FRAMES_START];
    file[..MAGIC.len()].copy_from_slice(MAGIC);
    let at = superblock.offset() as usize;
    file[at..at + SUPERBLOCK_BYTES].copy_from_slice(&superblock.encode());
    file.extend_from_slice(frames);
    (file, superblock)
}

/// A change of the store, as written to the log.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame {
    /// Appends a record.
    Record(Record),
    /// Replaces the hard state.
    HardState(Vec<u8>),
    /// Removes the record at this index and all later ones.
    Truncate(u64),
}

const KIND_RECORD: u8 = 1;
const KIND_HARD_STATE: u8 = 2;
const KIND_TRUNCATE: u8 = 3;

/// Appends a record to `out`.
pub(super) fn encode_record(out: &mut Vec<u8>, record: &Record) {
    encode_frame(out, KIND_RECORD, record.index, &record.bytes);
}

/// Appends a hard state to `out`.
pub(super) fn encode_hard_state(out: &mut Vec<u8>, bytes: &[u8]) {
    encode_frame(out, KIND_HARD_STATE, 0, bytes);
}

/// Appends a truncation to `out`.
pub(super) fn encode_truncate(out: &mut Vec<u8>, index: u64) {
    encode_frame(out, KIND_TRUNCATE, index, &[]);
}

fn encode_frame(out: &mut Vec<u8>, kind: u8, index: u64, bytes: &[u8]) {
    let start = out.len();
    out.extend([0; 4]);
    out.extend((bytes.len() as u32).to_le_bytes());
    out.push(kind);
    out.extend(index.to_le_bytes());
    out.extend_from_slice(bytes);
    let sum = crc32c(&out[start + 4..]);
    out[start..start + 4].copy_from_slice(&sum.to_le_bytes());
}

/// Decodes the frame at the start of `bytes` and returns it with its length.
///
/// Returns `None` if the frame is damaged or incomplete.
pub(super) fn decode_frame(bytes: &[u8]) -> Option<(Frame, usize)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let size = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    if size > RECORD_MAX_BYTES {
        return None;
    }
    let length = HEADER_BYTES + size;
    let frame = bytes.get(..length)?;
    if crc32c(&frame[4..]).to_le_bytes() != frame[..4] {
        return None;
    }
    let index = u64_at(frame, 9);
    let content = frame[HEADER_BYTES..].to_vec();
    let frame = match header[8] {
        KIND_RECORD => Frame::Record(Record {
            index,
            bytes: content,
        }),
        KIND_HARD_STATE => Frame::HardState(content),
        KIND_TRUNCATE => Frame::Truncate(index),
        _ => return None,
    };
    Some((frame, length))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(number)
}

/// The start of the identity and snapshot files; the digit is the version of the format.
const VALUE_MAGIC: &[u8; 8] = b"laburnV1";

/// Encodes a number and bytes as a file that is written as a whole.
pub(super) fn encode_file(number: u64, content: &[u8]) -> Vec<u8> {
    let mut file = Vec::with_capacity(content.len() + 28);
    file.extend_from_slice(VALUE_MAGIC);
    file.extend(number.to_le_bytes());
    file.extend((content.len() as u64).to_le_bytes());
    file.extend_from_slice(content);
    file.extend(crc32c(&file).to_le_bytes());
    file
}

/// Decodes the output of [`encode_file`]; returns `None` if it is damaged.
pub(super) fn decode_file(file: &[u8]) -> Option<(u64, &[u8])> {
    let (rest, sum) = file.split_at_checked(file.len().checked_sub(4)?)?;
    let is_valid = rest.len() >= 24 && rest.starts_with(VALUE_MAGIC);
    if !is_valid || crc32c(rest).to_le_bytes() != sum {
        return None;
    }
    let content = &rest[24..];
    (u64_at(rest, 16) == content.len() as u64).then(|| (u64_at(rest, 8), content))
}
