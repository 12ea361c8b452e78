//! A small JSON reader and the base64 of the store.

use std::collections::BTreeMap;

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
    /// Parses a text; malformed input gives `Null`.
    pub fn parse(text: &str) -> Json {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn skip(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    },
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = value(text, at)? else { return None };
                        skip(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(name, value(text, at)?);
                    },
                }
            }
        },
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    },
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        },
        '"' => {
            *at += 1;
            let mut out = String::new();
            loop {
                let next = *text.get(*at)?;
                *at += 1;
                match next {
                    '"' => return Some(Json::Text(out)),
                    '\\' => {
                        let escaped = *text.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => out.push('\n'),
                            't' => out.push('\t'),
                            'r' => out.push('\r'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                out.push(char::from_u32(code)?);
                            },
                            other => out.push(other),
                        }
                    },
                    other => out.push(other),
                }
            }
        },
        _ => {
            let start = *at;
            while *at < text.len() && !matches!(text[*at], ',' | '}' | ']') {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.trim() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        },
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let word = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            if digit <= group.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for digit in text.bytes().filter(|byte| *byte != b'=') {
        let Some(number) = DIGITS.iter().position(|known| *known == digit) else { continue };
        word = (word << 6) | number as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}

/// Returns `text` as a JSON string.
pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
