//! Release notes.

use std::fmt;

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::edit::{Edits, Item, Location};
use super::model::{Account, Key, Route, Service};
use super::{codec, reader};
use crate::error::Result;
use crate::units::NoteNumber;

/// An error in a release note and its location in the text.
///
/// Line and column start at 1; both are 0 for a note that was decoded and has no text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NoteError {
    /// The line.
    pub line: usize,
    /// The column in characters.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for NoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

impl std::error::Error for NoteError {}

/// A complete configuration that replaces the current one.
#[derive(Clone, Debug, Default)]
pub struct Replacement {
    /// The number of the note, which must be above that of the base.
    pub number: NoteNumber,
    /// The number that the latest note must have; zero before the first note.
    pub base: NoteNumber,
    /// All accounts.
    pub accounts: Vec<Account>,
    /// All keys.
    pub keys: Vec<Key>,
    /// All services.
    pub services: Vec<Service>,
    /// All routes.
    pub routes: Vec<Route>,
    /// The operator's original text, which is returned unchanged on request.
    pub document: Bytes,
}

/// A release note: the items that one change adds, changes and withdraws.
///
/// Defaults are filled in when the text is parsed, so that the meaning of an accepted note does not
/// depend on the program version that applies it.
#[derive(Debug, Default)]
pub struct Note {
    pub(super) number: NoteNumber,
    /// The note on which this one is based, if it replaces the whole configuration.
    pub(super) base: Option<NoteNumber>,
    /// The operator's original text of a replacement, stored only by control processes.
    pub(super) document: Option<Bytes>,
    /// The location of the number in the text.
    pub(super) location: Location,
    pub(super) title: Option<String>,
    pub(super) accounts: Edits<Account>,
    pub(super) keys: Edits<Key>,
    pub(super) services: Edits<Service>,
    pub(super) routes: Edits<Route>,
}

impl Note {
    /// Parses a note from TOML.
    ///
    /// # Errors
    ///
    /// All errors in the text, in the order of their locations. References to other items are
    /// checked by [`Config::apply`](super::Config::apply), since they depend on the configuration.
    pub fn parse(text: &str) -> std::result::Result<Note, Vec<NoteError>> {
        let (mut note, mut errors) = reader::read(text);
        note.sort_and_check(&mut errors);
        match errors.is_empty() {
            true => Ok(note),
            false => {
                errors.sort();
                Err(errors)
            }
        }
    }

    /// Returns the number.
    pub fn number(&self) -> NoteNumber {
        self.number
    }

    /// Creates a note that replaces the whole configuration.
    ///
    /// # Errors
    ///
    /// All rule violations within single items and lists; references between items are checked by
    /// [`Config::apply`](super::Config::apply).
    pub fn replace(content: Replacement) -> std::result::Result<Note, Vec<NoteError>> {
        let mut note = Note {
            number: content.number,
            base: Some(content.base),
            document: Some(content.document),
            accounts: codec::as_added(content.accounts.iter()),
            keys: codec::as_added(content.keys.iter()),
            services: codec::as_added(content.services.iter()),
            routes: codec::as_added(content.routes.iter()),
            ..Note::default()
        };
        let mut errors = Vec::new();
        note.sort_and_check(&mut errors);
        // The decoder checks the range of each field.
        if errors.is_empty()
            && let Err(e) = Note::decode(&note.encode())
        {
            errors.push(Location::default().error(e.to_string()));
        }
        match errors.is_empty() {
            true => Ok(note),
            false => Err(errors),
        }
    }

    /// Returns the number of the note on which a replacement is based; none for other notes.
    pub fn base(&self) -> Option<NoteNumber> {
        self.base
    }

    /// Returns the operator's text of a replacement.
    pub fn document(&self) -> Option<&Bytes> {
        self.document.as_ref()
    }

    /// Returns the note for nodes, without the operator's text, which may contain keys.
    pub fn without_document(self) -> Note {
        Note {
            document: None,
            ..self
        }
    }

    /// Returns the title.
    pub fn title(&self) -> Option<&str> {
        self.title.as_deref()
    }

    /// Returns the SHA-256 digest of the encoding; notes with the same content have the same
    /// digest.
    pub fn digest(&self) -> [u8; 32] {
        Sha256::digest(self.encode()).into()
    }

    /// Returns the canonical encoding; order, spacing and comments of the text don't matter.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode_note(self)
    }

    /// Decodes a note from its canonical encoding.
    ///
    /// # Errors
    ///
    /// [`Category::Corrupt`](crate::error::Category::Corrupt) for any other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Note> {
        codec::decode_note(bytes)
    }

    /// Sorts the items and checks that names are unique within the note.
    pub(super) fn sort_and_check(&mut self, errors: &mut Vec<NoteError>) {
        sort_and_check(&mut self.accounts, errors);
        sort_and_check(&mut self.keys, errors);
        sort_and_check(&mut self.services, errors);
        sort_and_check(&mut self.routes, errors);
    }
}

fn sort_and_check<T: Item>(edits: &mut Edits<T>, errors: &mut Vec<NoteError>) {
    edits.sort();
    edits.check_names(errors);
}
