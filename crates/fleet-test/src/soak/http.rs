//! HTTP/1.1 over plain streams, as far as the parties of a soak need it: each says when it has
//! sent and read which bytes, and when it closes.

use std::io;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;

/// Longest head of a message, bytes.
const HEAD_BYTES: usize = 16 * 1024;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// A header that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.word(1)
    }

    fn word(&self, place: usize) -> &str {
        self.start.split(' ').nth(place).unwrap_or_default()
    }

    /// Whether the sender closes the connection after it.
    pub fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

/// How fast a reader takes a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// As it comes.
    AtOnce,
    /// In parts of so many bytes, with a pause of so many ms after each.
    Slow { part_bytes: usize, pause_ms: u64 },
}

/// A connection with what was read ahead.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// A connection over a stream.
    pub fn new(stream: TcpStream) -> Connection {
        Connection(BufReader::new(stream))
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes).await
    }

    /// Reads a whole message; `None` if the connection ends before one begins.
    pub async fn read(&mut self, reading: Reading) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut head_bytes = 0;
        loop {
            let mut line = String::new();
            let count = self.0.read_line(&mut line).await?;
            head_bytes += count;
            if count == 0 {
                let is_clean = head_bytes == 0;
                return if is_clean { Ok(None) } else { Err(cut_short()) };
            }
            if head_bytes > HEAD_BYTES {
                return Err(io::Error::other("the head is too long"));
            }
            let line = line.trim_end();
            match line.split_once(':') {
                _ if line.is_empty() && message.start.is_empty() => {}
                _ if line.is_empty() => break,
                _ if message.start.is_empty() => message.start = line.into(),
                Some((name, value)) => {
                    let name = name.to_ascii_lowercase();
                    message.headers.push((name, value.trim().into()));
                }
                None => return Err(io::Error::other("not a header")),
            }
        }
        let length = message.number("content-length").unwrap_or(0);
        self.read_body(&mut message.body, length as usize, reading)
            .await?;
        Ok(Some(message))
    }

    async fn read_body(&mut self, body: &mut Vec<u8>, length: usize, reading: Reading) -> io::Result<()> {
        while body.len() < length {
            let mut wanted = length - body.len();
            if let Reading::Slow { part_bytes, pause_ms } = reading {
                wanted = wanted.min(part_bytes);
                actix_rt::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
            }
            let before = body.len();
            body.resize(before + wanted, 0);
            self.0.read_exact(&mut body[before..]).await?;
        }
        Ok(())
    }
}

fn cut_short() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the connection ends within a message",
    )
}

/// An answer with these headers, each ended by a line break.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
