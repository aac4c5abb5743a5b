//! Compares the handover protocol between an old and a new process of the platform's node with golden files,
//! byte for byte: the test acts as the new process for an old one, and as the old process for a new one.
//! `GOLDEN=write cargo test -p marlwinch --test golden_platform_handover` writes the files below
//! `tests/golden/platform`. `platform_golden` lists what is replaced in them.

mod peers;
mod platform_golden;

use peers::{Listener, Node, PEER_TIMEOUT, config, list};
use platform_golden::{check, log_line, own_path, startup_log, without_ports};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A temporary folder. It is removed when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = own_path("");
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
    /// Waits for the only file in it, the socket for the handover.
    fn socket_path(&self) -> PathBuf {
        let started = Instant::now();
        loop {
            if let Some(file) = std::fs::read_dir(&self.0).expect("a folder").flatten().next() {
                return file.path();
            }
            assert!(started.elapsed() < PEER_TIMEOUT, "no socket for a handover");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn connect(path: &Path) -> UnixStream {
    let started = Instant::now();
    loop {
        match UnixStream::connect(path) {
            Ok(stream) => {
                stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
                return stream;
            }
            Err(e) => assert!(started.elapsed() < PEER_TIMEOUT, "{}: {e}", path.display()),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Receives the first message and the sockets that are attached to it.
fn receive(stream: &UnixStream) -> (String, Vec<OwnedFd>) {
    let mut buffer = [0; 256];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(16))];
    let mut attached = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(stream, &mut [IoSliceMut::new(&mut buffer)], &mut attached, RecvFlags::empty())
        .expect("a message");
    let mut sockets = Vec::new();
    for message in attached.drain() {
        if let RecvAncillaryMessage::ScmRights(some) = message {
            sockets.extend(some);
        }
    }
    (String::from_utf8(buffer[..received.bytes].to_vec()).expect("a text"), sockets)
}

fn send(stream: &UnixStream, text: &str, sockets: &[&TcpListener]) {
    let sockets: Vec<_> = sockets.iter().map(|socket| socket.as_fd()).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(16))];
    let mut attached = SendAncillaryBuffer::new(&mut space);
    if !sockets.is_empty() {
        assert!(attached.push(SendAncillaryMessage::ScmRights(&sockets)));
    }
    sendmsg(stream, &[IoSlice::new(text.as_bytes())], &mut attached, SendFlags::empty()).expect("sent");
}

/// Reads to the end of a line or of the stream.
fn read_line(stream: &mut UnixStream) -> String {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while !line.ends_with(b"\n") && stream.read(&mut byte).expect("a message") == 1 {
        line.push(byte[0]);
    }
    String::from_utf8(line).expect("a text")
}

#[test]
fn messages_of_the_old_process_match_the_golden_file() {
    let (folder, discovery, backend) = (Folder::new(), Listener::new(), Listener::new());
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let node = Node::start_in(&config(discovery.address(), &known, |_| {}), &folder.0);
    let path = folder.socket_path();
    let name = path.file_name().and_then(|name| name.to_str()).expect("a name").to_string();
    assert!(name.contains(&node.address.port().to_string()));
    // A new process with an invalid reply.
    let mut stream = connect(&path);
    let (message, sockets) = receive(&stream);
    // The mode of the socket is final only once the old process accepts connections.
    let mode = std::fs::metadata(&path).expect("a file").permissions().mode() & 0o777;
    let mut text = format!("place {} mode {mode:o}\n", without_ports(&name));
    text += &format!("old {message:?} with {} sockets\n", sockets.len());
    stream.write_all(b"hello\n").expect("written");
    text += &format!(
        "new \"hello\\n\"\nold {:?}\n{}\n",
        read_line(&mut stream),
        log_line(&node.logged("handover failed"))
    );
    // A new process that takes over, and exits.
    let mut stream = connect(&path);
    let (message, sockets) = receive(&stream);
    let addresses: Vec<SocketAddr> =
        sockets.into_iter().map(|s| TcpListener::from(s).local_addr().expect("bound")).collect();
    assert_eq!(addresses, [node.address]);
    text += &format!("old {message:?} with the socket that it listens on\n");
    stream.write_all(b"ready\n").expect("written");
    text += &format!(
        "new \"ready\\n\"\nold {:?}\n{}\n",
        read_line(&mut stream),
        log_line(&node.logged("the successor accepts"))
    );
    drop(stream);
    text += &format!("new goes\n{}\n", log_line(&node.logged("the successor has ended")));
    check("handover_old.txt", &text);
}

/// A listening socket with `SO_REUSEPORT`, so that a node can share its address.
fn shared_listener() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_port(true).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(16).expect("a backlog");
    socket.into()
}

/// Acts as the old process with this greeting. Returns the reply of the new process and its log. The old
/// process sends a final message, or the new process must reject the greeting.
fn new_process(greeting: &str, with_socket: bool, word: Option<&str>) -> String {
    let (folder, discovery, backend) = (Folder::new(), Listener::new(), Listener::new());
    let listener = shared_listener();
    let address = listener.local_addr().expect("bound");
    let path = folder.0.join(format!("marlwinch-{}-{}.sock", address.ip(), address.port()));
    let old = UnixListener::bind(&path).expect("a socket");
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let text = config(discovery.address(), &known, |config| config["listen"] = address.to_string().into());
    let (greeted, answered) = (greeting.to_string(), word.map(String::from));
    let old_process = std::thread::spawn(move || {
        let (mut stream, _) = old.accept().expect("a new process");
        stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
        let sockets = if with_socket { vec![&listener] } else { Vec::new() };
        send(&stream, &greeted, &sockets);
        let message = read_line(&mut stream);
        if let Some(answered) = answered {
            stream.write_all(answered.as_bytes()).expect("written");
        }
        (message, stream)
    });
    let logged = match word {
        Some(word) => {
            let node = Node::start_in(&text, &folder.0);
            assert_eq!(node.address, address);
            format!("old {word:?}\n  {}\n", log_line(&node.logged("the previous process")))
        }
        None => startup_log(Some(&text), &[("TMPDIR", folder.0.to_str().expect("a path"))]),
    };
    let (message, _stream) = old_process.join().expect("the old process");
    let sockets = if with_socket { "with" } else { "without" };
    format!("old {greeting:?} {sockets} its socket\nnew {message:?}\n{logged}")
}

#[test]
fn messages_of_the_new_process_match_the_golden_file() {
    let text = [
        new_process("marlwinch handover 1\n", true, Some("yours\n")),
        new_process("marlwinch handover 1\n", true, Some("mine\n")),
        new_process("marlwinch handover 1\n", false, None),
        new_process("marlwinch handover 2\n", true, None),
        new_process("marlwinch\n", true, None),
    ];
    check("handover_new.txt", &text.join("\n"));
}
