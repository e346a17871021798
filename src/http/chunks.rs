//! Strict validation of chunked bodies.

/// Maximum length of a chunk's size line, with its extensions.
const SIZE_LINE_MAX_BYTES: usize = 256;

/// Maximum size of the trailers.
const TRAILERS_MAX_BYTES: usize = 8 * 1024;

/// The body violates the chunked coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadChunk;

/// Incremental validator of a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkValidator {
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before a size line.
    #[default]
    Size,
    /// Within the data of a chunk, with this many bytes left.
    Data(u64),
    /// Before the line end after the data.
    DataEnd,
    /// Within the trailers, with this many bytes read.
    Trailers(usize),
    /// After the body.
    Done,
}

impl ChunkValidator {
    /// Returns true after the last line of the body.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns how many bytes of `input` form complete elements.
    ///
    /// An element is a size line, chunk data, a line end or a trailer line.
    ///
    /// # Errors
    ///
    /// Fails if an element is malformed.
    pub fn complete(&mut self, input: &[u8]) -> Result<usize, BadChunk> {
        let mut at = 0;
        while at < input.len() && !self.is_done() {
            let size = self.element(&input[at..])?;
            if size == 0 {
                break;
            }
            at += size;
        }
        Ok(at)
    }

    /// Returns the size of the next element, or 0 if it is incomplete.
    fn element(&mut self, input: &[u8]) -> Result<usize, BadChunk> {
        match self.state {
            State::Data(left) => {
                let size = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                self.state = match left - size as u64 {
                    0 => State::DataEnd,
                    left => State::Data(left),
                };
                Ok(size)
            }
            State::DataEnd => match input {
                [b'\r', b'\n', ..] => {
                    self.state = State::Size;
                    Ok(2)
                }
                [b'\r'] => Ok(0),
                _ => Err(BadChunk),
            },
            State::Size => {
                let Some(line) = line(input, SIZE_LINE_MAX_BYTES)? else {
                    return Ok(0);
                };
                self.state = match chunk_size(line)? {
                    0 => State::Trailers(0),
                    size => State::Data(size),
                };
                Ok(line.len() + 2)
            }
            State::Trailers(read) => {
                let Some(line) = line(input, TRAILERS_MAX_BYTES - read)? else {
                    return Ok(0);
                };
                self.state = match line {
                    [] => State::Done,
                    _ => State::Trailers((read + line.len() + 2).min(TRAILERS_MAX_BYTES)),
                };
                Ok(line.len() + 2)
            }
            State::Done => Ok(0),
        }
    }
}

/// Returns the line at the start of `input` without its line end; `None` if it is incomplete.
fn line(input: &[u8], limit: usize) -> Result<Option<&[u8]>, BadChunk> {
    let end = input.iter().position(|b| matches!(b, b'\r' | b'\n' | 0));
    if end.unwrap_or(input.len()) > limit {
        return Err(BadChunk);
    }
    let Some(end) = end else {
        return Ok(None);
    };
    match input[end..] {
        [b'\r', b'\n', ..] => Ok(Some(&input[..end])),
        [b'\r'] => Ok(None),
        _ => Err(BadChunk),
    }
}

/// Parses the size at the start of a size line; extensions after `;` are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, BadChunk> {
    let size = line.split(|b| *b == b';').next().unwrap_or(line);
    let is_hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| is_hex);
    let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
    size.ok_or(BadChunk)
}
