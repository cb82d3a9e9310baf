//! Small JSON reader for the bodies that daemons send to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while matches!(self.bytes.get(self.at), Some(b' ' | b'\n' | b'\r' | b'\t')) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        self.space();
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.bytes.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while matches!(
            self.bytes.get(self.at),
            Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
        ) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.next();
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    out.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        // The daemons escape nothing else.
                        other => other,
                    });
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.next();
        let mut list = Vec::new();
        if self.peek()? == b']' {
            self.next();
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            match self.next()? {
                b',' => {}
                b']' => return Some(Json::List(list)),
                _ => return None,
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.next();
        let mut table = BTreeMap::new();
        if self.peek()? == b'}' {
            self.next();
            return Some(Json::Table(table));
        }
        loop {
            if self.peek()? != b'"' {
                return None;
            }
            let name = self.text()?;
            if self.next()? != b':' {
                return None;
            }
            table.insert(name, self.value()?);
            match self.next()? {
                b',' => {}
                b'}' => return Some(Json::Table(table)),
                _ => return None,
            }
        }
    }
}

/// Returns standard base64 text with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
