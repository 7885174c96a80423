//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query.
    pub fn field(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |it| it.1);
        let mut fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.find(|it| it.0 == name).map_or("", |it| it.1)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
    found.map_or("", |it| it.1.as_str())
}

/// Whether a server listens; shared with whoever takes it down.
#[derive(Clone, Default)]
pub struct Gate {
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Gate {
    /// Closes the port and all connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Opens the port again.
    pub fn open(&self) {
        self.is_closed.store(false, Ordering::SeqCst);
    }
}

/// As [`serve`], with a gate that closes the port for a while.
pub fn serve_gated<H>(listener: TcpListener, gate: Gate, handler: H) -> io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            std::thread::sleep(Duration::from_millis(2));
            if gate.is_closed.load(Ordering::SeqCst) {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else {
                continue;
            };
            let _ = open.set_nonblocking(true);
            while let Ok((stream, _)) = open.accept() {
                let _ = stream.set_nonblocking(false);
                gate.streams.lock().unwrap().extend(stream.try_clone());
                let handler = handler.clone();
                std::thread::spawn(move || {
                    let _ = serve_one(stream, &*handler);
                });
            }
        }
    });
    Ok(())
}

/// Accepts connections for as long as the process runs. The handler answers a request on the
/// socket and returns whether the connection stays open.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_one(stream, &*handler);
            });
        }
    });
}

fn serve_one(
    stream: TcpStream,
    handler: &impl Fn(&Request, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut writer)? {
            break;
        }
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        ..Request::default()
    };
    request.headers = read_headers(reader)?;
    request.body = read_body(reader, &request.headers, false)?;
    Ok(Some(request))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    may_end_with_connection: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
            let length = usize::from_str_radix(line.trim(), 16).map_err(invalid)?;
            let begin = body.len();
            body.resize(begin + length, 0);
            reader.read_exact(&mut body[begin..])?;
            reader.read_line(&mut String::new())?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
    match header(headers, "content-length").parse() {
        Ok(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        Err(_) if may_end_with_connection => {
            reader.read_to_end(&mut body)?;
        }
        Err(_) => {}
    }
    Ok(body)
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A received response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

/// A connection of a client, which stays open for many requests.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn receive(&mut self) -> io::Result<Response> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line
            .split_whitespace()
            .nth(1)
            .and_then(|it| it.parse().ok());
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers, true)?;
        Ok(Response {
            status: status.unwrap_or_default(),
            headers,
            body,
        })
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let mut connection = Connection::open(address, timeout)?;
    connection.send(method, target, headers, body)?;
    connection.receive()
}
