//! A strict reader of bodies in chunks.

/// Longest size line of a chunk in bytes, with its extensions.
const SIZE_LINE_MAX_BYTES: usize = 256;

/// Most bytes of trailers.
const TRAILERS_MAX_BYTES: usize = 8 * 1024;

/// The body breaks the rules of chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadChunk;

/// How far a body in chunks has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Chunks {
    place: Place,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
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

impl Chunks {
    /// Returns true after the last line of the body.
    pub fn is_done(&self) -> bool {
        self.place == Place::Done
    }

    /// Returns how many bytes of `input` form the next complete parts.
    ///
    /// # Errors
    ///
    /// Fails if a part breaks the rules.
    pub fn complete(&mut self, input: &[u8]) -> Result<usize, BadChunk> {
        let mut at = 0;
        while at < input.len() && !self.is_done() {
            let size = self.part(&input[at..])?;
            if size == 0 {
                break;
            }
            at += size;
        }
        Ok(at)
    }

    /// Returns the size of the next part, or 0 if it is not complete.
    fn part(&mut self, input: &[u8]) -> Result<usize, BadChunk> {
        match self.place {
            Place::Data(left) => {
                let size = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                self.place = match left - size as u64 {
                    0 => Place::DataEnd,
                    left => Place::Data(left),
                };
                Ok(size)
            }
            Place::DataEnd => match input {
                [b'\r', b'\n', ..] => {
                    self.place = Place::Size;
                    Ok(2)
                }
                [b'\r'] => Ok(0),
                _ => Err(BadChunk),
            },
            Place::Size => {
                let Some(line) = line(input, SIZE_LINE_MAX_BYTES)? else {
                    return Ok(0);
                };
                self.place = match chunk_size(line)? {
                    0 => Place::Trailers(0),
                    size => Place::Data(size),
                };
                Ok(line.len() + 2)
            }
            Place::Trailers(read) => {
                let Some(line) = line(input, TRAILERS_MAX_BYTES - read)? else {
                    return Ok(0);
                };
                self.place = match line {
                    [] => Place::Done,
                    _ => Place::Trailers((read + line.len() + 2).min(TRAILERS_MAX_BYTES)),
                };
                Ok(line.len() + 2)
            }
            Place::Done => Ok(0),
        }
    }
}

/// Returns the line at the start of `input` without its end; none if it is not complete.
fn line(input: &[u8], most: usize) -> Result<Option<&[u8]>, BadChunk> {
    let end = input.iter().position(|b| matches!(b, b'\r' | b'\n' | 0));
    if end.unwrap_or(input.len()) > most {
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

/// Reads the size at the start of a size line; extensions after `;` mean nothing here.
fn chunk_size(line: &[u8]) -> Result<u64, BadChunk> {
    let size = line.split(|b| *b == b';').next().unwrap_or(line);
    let is_hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| is_hex);
    let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
    size.ok_or(BadChunk)
}
