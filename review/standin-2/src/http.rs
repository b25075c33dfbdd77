//! HTTP/1.1 as far as the stand-ins speak it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::net::TcpStream;

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the connection ended before it.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
        let mut head = Head::default();
        let Some(first) = line(reader)? else {
            return Ok(None);
        };
        head.first = first;
        loop {
            let text = line(reader)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
            if text.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = text.split_once(':') {
                head.headers
                    .push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The part of the first line at `index`: method and path of a request, status of an answer.
    pub fn part(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    /// Reads a body with a length or in chunks; one with neither is empty.
    pub fn read_body(&self, reader: &mut BufReader<TcpStream>) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.is_chunked() {
            while let Some(chunk) = read_chunk(reader)? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = self
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0usize);
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
        Ok(body)
    }
}

/// The next chunk of a body; `None` at its proper end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let ended = || Error::from(ErrorKind::UnexpectedEof);
    let size = line(reader)?.ok_or_else(ended)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let rest = line(reader)?.ok_or_else(ended)?;
    match (rest.is_empty(), size) {
        (false, _) => Err(ErrorKind::InvalidData.into()),
        (true, 0) => Ok(None),
        (true, _) => Ok(Some(chunk)),
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> Result<Option<String>> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    if bytes.pop() != Some(b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    String::from_utf8(bytes)
        .map(Some)
        .map_err(|_| ErrorKind::InvalidData.into())
}

/// The value of `name` in the query of a path.
pub fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let found = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name);
    found.map(|(_, value)| decode(value))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
