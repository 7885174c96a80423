//! A small reader and writer of JSON.

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
    /// Returns a field of a table; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses JSON text; `None` if it is invalid.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.skip_space();
    (reader.at == text.len()).then_some(value)
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn takes(&mut self, token: &[u8]) -> bool {
        let found = self.text[self.at..].starts_with(token);
        if found {
            self.at += token.len();
        }
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.takes(b"true").then_some(Json::Bool(true)),
            b'f' => self.takes(b"false").then_some(Json::Bool(false)),
            b'n' => self.takes(b"null").then_some(Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|it| b"+-.eE0123456789".contains(it))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend(letter.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            self.skip_space();
            if self.takes(b"]") {
                return Some(Json::List(list));
            }
            list.push(self.value()?);
            self.skip_space();
            if !self.takes(b",") && self.text.get(self.at) != Some(&b']') {
                return None;
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut table = BTreeMap::new();
        loop {
            self.skip_space();
            if self.takes(b"}") {
                return Some(Json::Table(table));
            }
            let name = self.string()?;
            self.skip_space();
            if !self.takes(b":") {
                return None;
            }
            table.insert(name, self.value()?);
            self.skip_space();
            if !self.takes(b",") && self.text.get(self.at) != Some(&b'}') {
                return None;
            }
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Decodes standard base64.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(digit) = LETTERS.iter().position(|it| *it == letter) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
