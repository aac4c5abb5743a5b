//! What an old and a new process of the platform's node say to each other when one takes the other's place, as bytes, held
//! against golden files: the test plays the new process before an old one, and the old one before a new one.
//! `GOLDEN=write cargo test -p marlwinch --test golden_platform_handover` writes the files below `tests/golden/platform` anew.
//! What is replaced in them is said in `platform_golden`.

mod peers;
mod platform_golden;

use peers::{Listener, Node, PEER_TIMEOUT, config, list};
use platform_golden::{check, first_words, log_line, own_path, without_ports};
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

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = own_path("");
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
    /// The one file in it, once it is there.
    fn place(&self) -> PathBuf {
        let begun = Instant::now();
        loop {
            if let Some(file) = std::fs::read_dir(&self.0).expect("a folder").flatten().next() {
                return file.path();
            }
            assert!(begun.elapsed() < PEER_TIMEOUT, "no place for a handover");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn connect(place: &Path) -> UnixStream {
    let begun = Instant::now();
    loop {
        match UnixStream::connect(place) {
            Ok(stream) => {
                stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
                return stream;
            }
            Err(e) => assert!(begun.elapsed() < PEER_TIMEOUT, "{}: {e}", place.display()),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// What is said at once, and the sockets that come with it.
fn receive(stream: &UnixStream) -> (String, Vec<OwnedFd>) {
    let mut said = [0; 256];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(16))];
    let mut attached = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(stream, &mut [IoSliceMut::new(&mut said)], &mut attached, RecvFlags::empty())
        .expect("a word");
    let mut sockets = Vec::new();
    for message in attached.drain() {
        if let RecvAncillaryMessage::ScmRights(some) = message {
            sockets.extend(some);
        }
    }
    (String::from_utf8(said[..received.bytes].to_vec()).expect("a text"), sockets)
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

/// Reads what is said until there is a whole line, or the end.
fn line(stream: &mut UnixStream) -> String {
    let (mut said, mut byte) = (Vec::new(), [0]);
    while !said.ends_with(b"\n") && stream.read(&mut byte).expect("a word") == 1 {
        said.push(byte[0]);
    }
    String::from_utf8(said).expect("a text")
}

#[test]
fn an_old_process_says_what_it_did() {
    let (folder, discovery, backend) = (Folder::new(), Listener::new(), Listener::new());
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let node = Node::start_in(&config(discovery.address(), &known, |_| {}), &folder.0);
    let place = folder.place();
    let name = place.file_name().and_then(|name| name.to_str()).expect("a name").to_string();
    assert!(name.contains(&node.address.port().to_string()));
    // One that says something else.
    let mut stream = connect(&place);
    let (said, sockets) = receive(&stream);
    // Once the old process accepts connections there, and not before, the mode of the place is its own.
    let mode = std::fs::metadata(&place).expect("a file").permissions().mode() & 0o777;
    let mut text = format!("place {} mode {mode:o}\n", without_ports(&name));
    text += &format!("old {said:?} with {} sockets\n", sockets.len());
    stream.write_all(b"hello\n").expect("written");
    text += &format!(
        "new \"hello\\n\"\nold {:?}\n{}\n",
        line(&mut stream),
        log_line(&node.logged("handover failed"))
    );
    // One that takes the place, and goes.
    let mut stream = connect(&place);
    let (said, sockets) = receive(&stream);
    let addresses: Vec<SocketAddr> =
        sockets.into_iter().map(|s| TcpListener::from(s).local_addr().expect("bound")).collect();
    assert_eq!(addresses, [node.address]);
    text += &format!("old {said:?} with the socket that it listens on\n");
    stream.write_all(b"ready\n").expect("written");
    text += &format!(
        "new \"ready\\n\"\nold {:?}\n{}\n",
        line(&mut stream),
        log_line(&node.logged("the successor accepts"))
    );
    drop(stream);
    text += &format!("new goes\n{}\n", log_line(&node.logged("the successor has ended")));
    check("handover_old.txt", &text);
}

/// A listening socket whose address a node may share.
fn shared_listener() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_port(true).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(16).expect("a backlog");
    socket.into()
}

/// Plays the old process: what the new one says to this greeting, and what it logs. The old one answers with a word, or the
/// new one is to go on without it.
fn new_process(greeting: &str, with_socket: bool, word: Option<&str>) -> String {
    let (folder, discovery, backend) = (Folder::new(), Listener::new(), Listener::new());
    let listener = shared_listener();
    let address = listener.local_addr().expect("bound");
    let place = folder.0.join(format!("marlwinch-{}-{}.sock", address.ip(), address.port()));
    let old = UnixListener::bind(&place).expect("a place");
    let known = list(41, true, &[("s-1", backend.address(), "east", "in_service")]);
    let text = config(discovery.address(), &known, |config| config["listen"] = address.to_string().into());
    let (greeted, answered) = (greeting.to_string(), word.map(String::from));
    let play = std::thread::spawn(move || {
        let (mut stream, _) = old.accept().expect("a new process");
        stream.set_read_timeout(Some(PEER_TIMEOUT)).expect("a socket");
        let sockets = if with_socket { vec![&listener] } else { Vec::new() };
        send(&stream, &greeted, &sockets);
        let said = line(&mut stream);
        if let Some(answered) = answered {
            stream.write_all(answered.as_bytes()).expect("written");
        }
        (said, stream)
    });
    let logged = match word {
        Some(word) => {
            let node = Node::start_in(&text, &folder.0);
            assert_eq!(node.address, address);
            format!("old {word:?}\n  {}\n", log_line(&node.logged("the previous process")))
        }
        None => first_words(Some(&text), &[("TMPDIR", folder.0.to_str().expect("a path"))]),
    };
    let (said, _stream) = play.join().expect("the old process");
    let sockets = if with_socket { "with" } else { "without" };
    format!("old {greeting:?} {sockets} its socket\nnew {said:?}\n{logged}")
}

#[test]
fn a_new_process_says_what_it_did() {
    let text = [
        new_process("marlwinch handover 1\n", true, Some("yours\n")),
        new_process("marlwinch handover 1\n", true, Some("mine\n")),
        new_process("marlwinch handover 1\n", false, None),
        new_process("marlwinch handover 2\n", true, None),
        new_process("marlwinch\n", true, None),
    ];
    check("handover_new.txt", &text.join("\n"));
}
