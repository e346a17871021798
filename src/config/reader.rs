//! Parses the text of a release note and collects all errors in it.

use std::fmt::Display;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::edit::{AccountEdit, Edits, Item, KeyEdit, Located, Location, RouteEdit, ServiceEdit};
use super::model::{Account, Key, Route, Service, WeightedService};
use super::note::{Note, NoteError};
use super::routes::{SAFE_METHODS, check_methods, check_path};
use super::{
    BODY_MAX_BYTES, BURST_MAX, DEADLINE_MAX_SECS, NOTE_MAX_BYTES, PATH_MAX_BYTES, TITLE_MAX_BYTES,
};
use crate::error::Error;
use crate::units::{Burst, ByteSize, NoteNumber, Rate};

/// Default floor of a service, in percent.
const DEFAULT_FLOOR: u8 = 50;

/// Default rate of open requests of a service.
const DEFAULT_OPEN_RATE: Rate = Rate::per_sec(100);

/// Default burst of open requests of a service.
const DEFAULT_OPEN_BURST: Burst = Burst(100);

/// Default methods of a route.
const DEFAULT_METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];

/// Default deadline of a route.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Default limit for request bodies of a route.
const DEFAULT_BODY_MAX: ByteSize = ByteSize(1 << 20);

/// Largest number of attempts for one request that a route may set.
const ATTEMPTS_MAX: u64 = 16;

/// Largest weight in a split.
const WEIGHT_MAX: u64 = 1_000_000;

type Value<'i> = Spanned<DeValue<'i>>;

/// Parses `text` and returns the valid parts of the note, and all errors.
pub(super) fn read(text: &str) -> (Note, Vec<NoteError>) {
    let mut reader = Reader {
        text,
        lines: line_starts(text),
        errors: Vec::new(),
    };
    let mut note = Note::default();
    if text.len() > NOTE_MAX_BYTES {
        let message = format!("the note is longer than {NOTE_MAX_BYTES} bytes");
        reader.report(0..0, message);
        return (note, reader.errors);
    }
    let (table, syntax) = DeTable::parse_recoverable(text);
    for error in syntax {
        reader.report(error.span().unwrap_or(0..0), error.message());
    }
    reader.note(table.get_ref(), &mut note);
    (note, reader.errors)
}

fn line_starts(text: &str) -> Vec<usize> {
    let ends = text.match_indices('\n').map(|(i, _)| i + 1);
    std::iter::once(0).chain(ends).collect()
}

/// The list of a note that contains an item.
#[derive(Clone, Copy, PartialEq)]
enum List {
    Added,
    Changed,
}

/// Parses one item of a list from its table, which is at the given span.
type ReadItem<'t, E> = fn(&mut Reader<'t>, List, &DeTable<'_>, Range<usize>) -> Option<E>;

struct Reader<'t> {
    text: &'t str,
    lines: Vec<usize>,
    errors: Vec<NoteError>,
}

impl<'t> Reader<'t> {
    fn location(&self, span: Range<usize>) -> Location {
        let mut at = span.start.min(self.text.len());
        while !self.text.is_char_boundary(at) {
            at -= 1;
        }
        let line = self.lines.partition_point(|start| *start <= at);
        let start = self.lines[line - 1];
        Location {
            line,
            column: self.text[start..at].chars().count() + 1,
        }
    }

    fn report(&mut self, span: Range<usize>, message: impl Into<String>) {
        let error = self.location(span).error(message);
        self.errors.push(error);
    }

    fn note(&mut self, table: &DeTable<'_>, note: &mut Note) {
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "number" => {
                    let number = self.integer("number", value, 1..=u64::MAX >> 1);
                    note.number = NoteNumber(number.unwrap_or_default());
                    note.location = self.location(value.span());
                }
                "title" => note.title = self.title(value),
                "added" => self.edits("added", List::Added, value, note),
                "changed" => self.edits("changed", List::Changed, value, note),
                "withdrawn" => self.withdrawn(value, note),
                other => self.report(key.span(), unknown_field(other, "a note")),
            }
        }
        if !has(table, "number") {
            self.report(0..0, "the note has no number");
        }
    }

    fn title(&mut self, value: &Value<'_>) -> Option<String> {
        let title = self.str("title", value)?;
        if title.len() > TITLE_MAX_BYTES || title.chars().any(char::is_control) {
            let message = format!("title must be one line of at most {TITLE_MAX_BYTES} bytes");
            self.report(value.span(), message);
            return None;
        }
        Some(title.to_owned())
    }

    fn edits(&mut self, name: &str, list: List, value: &Value<'_>, note: &mut Note) {
        let Some(table) = self.table(name, value) else {
            return;
        };
        for (key, value) in table {
            let kind = key.get_ref().as_ref();
            match kind {
                "accounts" => self.items(list, value, &mut note.accounts, Self::account),
                "keys" => self.items(list, value, &mut note.keys, Self::key),
                "services" => self.items(list, value, &mut note.services, Self::service),
                "routes" => self.items(list, value, &mut note.routes, Self::route),
                other => self.report(key.span(), unknown_field(other, name)),
            }
        }
    }

    fn items<T: Item>(
        &mut self,
        list: List,
        value: &Value<'_>,
        edits: &mut Edits<T>,
        read: ReadItem<'t, T::Edit>,
    ) {
        let Some(array) = value.get_ref().as_array() else {
            let message = format!("expected a list of {}s, such as [[..]] tables", T::KIND);
            return self.report(value.span(), message);
        };
        for item in array.iter() {
            let Some(table) = self.table(T::KIND, item) else {
                continue;
            };
            let Some(edit) = read(self, list, table, item.span()) else {
                continue;
            };
            match list {
                List::Added => edits.added.push(edit),
                List::Changed => edits.changed.push(edit),
            }
        }
    }

    fn withdrawn(&mut self, value: &Value<'_>, note: &mut Note) {
        let Some(table) = self.table("withdrawn", value) else {
            return;
        };
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "accounts" => note.accounts.withdrawn = self.names("account name", value),
                "keys" => note.keys.withdrawn = self.names("key name", value),
                "services" => note.services.withdrawn = self.names("service name", value),
                "routes" => note.routes.withdrawn = self.names("route name", value),
                other => self.report(key.span(), unknown_field(other, "withdrawn")),
            }
        }
    }

    fn account(
        &mut self,
        list: List,
        table: &DeTable<'_>,
        span: Range<usize>,
    ) -> Option<AccountEdit> {
        let (mut name, mut rate, mut burst, mut priority) = (None, None, None, None);
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "name" => name = self.parse("name", value),
                "rate" => rate = self.parse("rate", value).map(|p| p.value),
                "burst" => burst = self.burst("burst", value),
                "priority" => priority = self.priority(value),
                other => self.report(key.span(), unknown_field(other, Account::KIND)),
            }
        }
        self.require(list, table, span, &["rate", "burst"]);
        Some(AccountEdit {
            name: name?,
            rate,
            burst,
            priority,
        })
    }

    fn key(&mut self, list: List, table: &DeTable<'_>, span: Range<usize>) -> Option<KeyEdit> {
        let (mut name, mut account, mut digest) = (None, None, None);
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "name" => name = self.parse("name", value),
                "account" => account = self.parse("account", value),
                "digest" => digest = self.parse("digest", value),
                other => self.report(key.span(), unknown_field(other, Key::KIND)),
            }
        }
        self.require(list, table, span, &["account", "digest"]);
        Some(KeyEdit {
            name: name?,
            account,
            digest,
        })
    }

    fn service(
        &mut self,
        list: List,
        table: &DeTable<'_>,
        span: Range<usize>,
    ) -> Option<ServiceEdit> {
        let (mut name, mut floor, mut open_rate, mut open_burst) = (None, None, None, None);
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "name" => name = self.parse("name", value),
                "floor" => floor = self.integer("floor", value, 0..=100).map(|n| n as u8),
                "open_rate" => open_rate = self.parse("open_rate", value).map(|p| p.value),
                "open_burst" => open_burst = self.burst("open_burst", value),
                other => self.report(key.span(), unknown_field(other, Service::KIND)),
            }
        }
        self.require(list, table, span, &[]);
        if list == List::Added {
            floor = floor.or(Some(DEFAULT_FLOOR));
            open_rate = open_rate.or(Some(DEFAULT_OPEN_RATE));
            open_burst = open_burst.or(Some(DEFAULT_OPEN_BURST));
        }
        Some(ServiceEdit {
            name: name?,
            floor,
            open_rate,
            open_burst,
        })
    }

    fn route(&mut self, list: List, table: &DeTable<'_>, span: Range<usize>) -> Option<RouteEdit> {
        let (mut name, mut path, mut methods, mut service) = (None, None, None, None);
        let (mut open, mut deadline, mut body_max, mut idempotent) = (None, None, None, None);
        let (mut host, mut split, mut attempts) = (None, None, None);
        let (mut priority, mut objective) = (None, None);
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "name" => name = self.parse("name", value),
                "path" => path = self.path(value),
                "methods" => methods = self.methods("methods", value),
                "service" => service = self.parse("service", value),
                "open" => open = self.boolean("open", value),
                "deadline" => deadline = self.duration("deadline", value),
                "body_max" => {
                    let size = self.integer("body_max", value, 0..=BODY_MAX_BYTES);
                    body_max = size.map(ByteSize);
                }
                "idempotent" => idempotent = self.methods("idempotent", value),
                "host" => host = self.host(value),
                "split" => split = self.split(value),
                "attempts" => {
                    let count = self.integer("attempts", value, 1..=ATTEMPTS_MAX);
                    attempts = count.map(|n| n as u32);
                }
                "priority" => priority = self.priority(value),
                "objective" => objective = self.duration("objective", value),
                other => self.report(key.span(), unknown_field(other, Route::KIND)),
            }
        }
        self.require(list, table, span, &["path", "service"]);
        if list == List::Added {
            methods = methods.or_else(|| Some(DEFAULT_METHODS.map(str::to_owned).to_vec()));
            let safe = |all: &Vec<String>| {
                let is_safe = |m: &&String| SAFE_METHODS.contains(&m.as_str());
                all.iter().filter(is_safe).cloned().collect()
            };
            idempotent = idempotent.or_else(|| methods.as_ref().map(safe));
            open = open.or(Some(false));
            deadline = deadline.or(Some(DEFAULT_DEADLINE));
            body_max = body_max.or(Some(DEFAULT_BODY_MAX));
        }
        Some(RouteEdit {
            name: name?,
            path,
            methods,
            service,
            open,
            deadline,
            body_max,
            idempotent,
            host,
            split,
            attempts,
            priority,
            objective,
        })
    }

    /// Reports a missing name, missing `fields` of an added item, and a change without new values.
    fn require(&mut self, list: List, table: &DeTable<'_>, span: Range<usize>, fields: &[&str]) {
        if !has(table, "name") {
            self.report(span.clone(), "field \"name\" is missing");
        }
        match list {
            List::Added => {
                for field in fields.iter().filter(|f| !has(table, f)) {
                    self.report(span.clone(), format!("field {field:?} is missing"));
                }
            }
            List::Changed if has(table, "name") && table.len() == 1 => {
                self.report(span, "the change states no new value");
            }
            List::Changed => {}
        }
    }

    fn table<'v, 'i>(&mut self, name: &str, value: &'v Value<'i>) -> Option<&'v DeTable<'i>> {
        let table = value.get_ref().as_table();
        self.expect(name, "a table", value, table)
    }

    fn str<'v>(&mut self, name: &str, value: &'v Value<'_>) -> Option<&'v str> {
        let text = value.get_ref().as_str();
        self.expect(name, "a string", value, text)
    }

    fn boolean(&mut self, name: &str, value: &Value<'_>) -> Option<bool> {
        let flag = value.get_ref().as_bool();
        self.expect(name, "true or false", value, flag)
    }

    fn expect<T>(
        &mut self,
        name: &str,
        expected: &str,
        value: &Value<'_>,
        found: Option<T>,
    ) -> Option<T> {
        if found.is_none() {
            let kind = value.get_ref().type_str();
            self.report(
                value.span(),
                format!("{name} must be {expected}, not {kind}"),
            );
        }
        found
    }

    fn integer(
        &mut self,
        name: &str,
        value: &Value<'_>,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let integer = value.get_ref().as_integer();
        let integer = self.expect(name, "a whole number", value, integer)?;
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.filter(|n| range.contains(n));
        if number.is_none() {
            let message = format!("{name} must be {} to {}", range.start(), range.end());
            self.report(value.span(), message);
        }
        number
    }

    fn burst(&mut self, name: &str, value: &Value<'_>) -> Option<Burst> {
        let burst = self.integer(name, value, 1..=u64::from(BURST_MAX))?;
        Some(Burst(burst as u32))
    }

    fn parse<T: FromStr<Err = Error>>(
        &mut self,
        name: &str,
        value: &Value<'_>,
    ) -> Option<Located<T>> {
        let text = self.str(name, value)?;
        let parsed = text.parse().map_err(|e: Error| e.to_string());
        self.located(value, parsed)
    }

    fn located<T>(
        &mut self,
        value: &Value<'_>,
        result: Result<T, impl Display>,
    ) -> Option<Located<T>> {
        match result {
            Ok(parsed) => Some(Located {
                value: parsed,
                location: self.location(value.span()),
            }),
            Err(e) => {
                self.report(value.span(), e.to_string());
                None
            }
        }
    }

    fn names<T: FromStr<Err = Error>>(&mut self, name: &str, value: &Value<'_>) -> Vec<Located<T>> {
        let array = value.get_ref().as_array();
        let Some(array) = self.expect(name, "a list of strings", value, array) else {
            return Vec::new();
        };
        let names = array.iter().map(|item| self.parse(name, item));
        names.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    fn path(&mut self, value: &Value<'_>) -> Option<Located<String>> {
        let path = self.str("path", value)?;
        let checked = match path.len() > PATH_MAX_BYTES {
            true => Err(format!("path is longer than {PATH_MAX_BYTES} bytes")),
            false => check_note_path(path).map(|()| path.to_owned()),
        };
        self.located(value, checked)
    }

    /// Parses a list of methods and sorts it; a duplicate method is an error.
    fn methods(&mut self, name: &str, value: &Value<'_>) -> Option<Vec<String>> {
        let array = value.get_ref().as_array();
        let array = self.expect(name, "a list of strings", value, array)?;
        let mut methods = Vec::with_capacity(array.len());
        for item in array.iter() {
            let method = self.str(name, item)?.to_owned();
            if methods.contains(&method) {
                self.report(item.span(), format!("method {method:?} stands twice"));
                return None;
            }
            methods.push(method);
        }
        methods.sort();
        let checked = check_methods(&methods).map(|()| methods);
        self.located(value, checked).map(|p| p.value)
    }

    fn priority(&mut self, value: &Value<'_>) -> Option<u8> {
        let priority = self.integer("priority", value, 0..=u8::MAX.into())?;
        Some(priority as u8)
    }

    fn host(&mut self, value: &Value<'_>) -> Option<String> {
        let text = self.str("host", value)?;
        let is_valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
        let checked = match !text.is_empty() && text.bytes().all(is_valid) {
            true => Ok(text.to_owned()),
            false => Err("host must hold only a-z, 0-9, '-' and '.'"),
        };
        self.located(value, checked).map(|p| p.value)
    }

    /// Parses a table of services and their weights.
    fn split(&mut self, value: &Value<'_>) -> Option<Vec<Located<WeightedService>>> {
        let mut shares = Vec::new();
        for (service, weight) in self.table("split", value)? {
            let name = service.get_ref().parse();
            let service = self.located(value, name.map_err(|e: Error| e.to_string()))?;
            let weight = self.integer("weight", weight, 1..=WEIGHT_MAX)? as u32;
            shares.push(Located {
                value: WeightedService {
                    service: service.value,
                    weight,
                },
                location: service.location,
            });
        }
        shares.sort_by(|a, b| a.value.cmp(&b.value));
        Some(shares)
    }

    fn duration(&mut self, name: &str, value: &Value<'_>) -> Option<Duration> {
        let text = self.str(name, value)?;
        let range = Duration::from_millis(1)..=Duration::from_secs(DEADLINE_MAX_SECS);
        let duration = humantime::parse_duration(text).ok();
        let is_valid =
            |d: &Duration| range.contains(d) && d.subsec_nanos().is_multiple_of(1_000_000);
        let checked = duration.filter(is_valid).ok_or(format!(
            "{name} must be whole milliseconds from 1ms to {DEADLINE_MAX_SECS}s, such as \"5s\""
        ));
        self.located(value, checked).map(|p| p.value)
    }
}

/// Checks the path prefix of a release note, which always covers the path itself too.
fn check_note_path(path: &str) -> Result<(), String> {
    if path.len() > 1 && path.ends_with('/') {
        return Err("path must not end with '/'; a prefix covers everything below it".to_owned());
    }
    check_path(path)
}

fn has(table: &DeTable<'_>, field: &str) -> bool {
    table.keys().any(|key| key.get_ref() == field)
}

fn unknown_field(field: &str, of: &str) -> String {
    format!("{of} has no field {field:?}")
}
