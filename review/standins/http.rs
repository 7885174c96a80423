//! HTTP/1.1 over blocking sockets: what servers read, and what clients send.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|it| it.0.eq_ignore_ascii_case(name));
        found.map_or("", |it| &it.1)
    }

    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.word(0)
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.word(1).split_once('?').map_or("", |it| it.1);
        let fields = query.split('&').filter_map(|it| it.split_once('='));
        let mut named = fields.filter(|it| it.0 == name);
        named.next().map_or_else(String::new, |it| it.1.to_owned())
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head, without its body. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool) {
    let length = message.header("content-length").parse::<usize>();
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Ok(length) = length {
        message.body = vec![0; length];
        if reader.read_exact(&mut message.body).is_err() {
            return;
        }
    } else if is_answer {
        if reader.read_to_end(&mut message.body).is_err() {
            return;
        }
    }
    message.is_whole = true;
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut request = read_head(reader)?;
    read_body(reader, &mut request, false);
    request.is_whole.then_some(request)
}

/// Returns an answer with its length.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves connections, each on a thread of its own, for as long as the process runs.
/// `serve` returns whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    serve: impl Fn(&Message, &mut TcpStream) -> bool + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !serve(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection, and returns its answer; `None` without one.
pub fn send(
    address: SocketAddr,
    line: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let length = body.len();
    let head = format!("{line} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n");
    writer.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    read_body(&mut reader, &mut answer, true);
    Some(answer)
}
