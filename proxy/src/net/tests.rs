use super::*;
use rustix::io::Errno;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn loopback_listener() -> (Listener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (Listener::new(listener, Peer::Client).unwrap(), address)
}

#[test]
fn connect_errors_are_classified_as_local_path_or_peer_faults() {
    use Fault::{Local, Path, Peer, PeerTimedOut};
    let shortages =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ACCESS, Errno::AFNOSUPPORT];
    for error in shortages {
        for call in [SocketCall::Socket, SocketCall::SetNoDelay, SocketCall::Register, SocketCall::Connect] {
            assert_eq!(connect_fault(call, &error.into()), Local, "{call:?} {error:?}");
        }
    }
    let connect = [
        (Errno::ADDRNOTAVAIL, Local),
        (Errno::ADDRINUSE, Local),
        (Errno::AGAIN, Local),
        (Errno::PERM, Local),
        (Errno::INTR, Local),
        (Errno::NETUNREACH, Path),
        (Errno::HOSTUNREACH, Path),
        (Errno::NETDOWN, Path),
        (Errno::HOSTDOWN, Path),
        (Errno::NONET, Path),
        (Errno::TIMEDOUT, PeerTimedOut),
        (Errno::CONNREFUSED, Peer),
        (Errno::CONNRESET, Peer),
        (Errno::CONNABORTED, Peer),
        (Errno::PIPE, Peer),
        (Errno::PROTO, Peer),
        (Errno::INVAL, Peer),
    ];
    for (error, fault) in connect {
        assert_eq!(connect_fault(SocketCall::Connect, &error.into()), fault, "{error:?}");
    }
    let custom_error = std::io::Error::other("none");
    assert_eq!(connect_fault(SocketCall::Connect, &custom_error), Peer);
}

#[test]
fn accept_errors_select_wait_accept_next_or_pause() {
    use AfterAcceptError::{AcceptNext, Pause, Wait};
    let cases = [
        (Errno::AGAIN, Wait),
        (Errno::INTR, AcceptNext),
        (Errno::CONNABORTED, AcceptNext),
        (Errno::PROTO, AcceptNext),
        (Errno::NETDOWN, AcceptNext),
        (Errno::NETUNREACH, AcceptNext),
        (Errno::HOSTUNREACH, AcceptNext),
        (Errno::HOSTDOWN, AcceptNext),
        (Errno::NONET, AcceptNext),
        (Errno::NOPROTOOPT, AcceptNext),
        (Errno::OPNOTSUPP, AcceptNext),
        (Errno::PERM, AcceptNext),
        (Errno::TIMEDOUT, AcceptNext),
        (Errno::MFILE, Pause),
        (Errno::NFILE, Pause),
        (Errno::NOBUFS, Pause),
        (Errno::NOMEM, Pause),
        (Errno::INVAL, Pause),
        (Errno::BADF, Pause),
    ];
    for (error, after) in cases {
        assert_eq!(after_accept_error(&error.into()), after, "{error:?}");
    }
}

#[test]
fn accept_retries_aborted_connections_at_once_and_pauses_on_shortage() {
    let (listener, address) = loopback_listener();
    for (error, times, pauses) in [
        (Errno::CONNABORTED, 20, 0),
        (Errno::INTR, 20, 0),
        (Errno::PROTO, 20, 0),
        // Two pauses within 130 consecutive errors, so that the loop does not block the thread.
        (Errno::CONNABORTED, 130, 2),
        (Errno::MFILE, 3, 3),
        (Errno::NFILE, 1, 1),
        (Errno::NOBUFS, 1, 1),
        (Errno::NOMEM, 1, 1),
    ] {
        let _client = TcpStream::connect(address).unwrap();
        injection::fail(SocketCall::Accept, error, times);
        let (started, mut errors) = (Instant::now(), 0);
        async_io::block_on(listener.accept(|_| errors += 1));
        let elapsed = started.elapsed();
        let min_elapsed = Duration::from_millis(20) * pauses;
        assert_eq!((errors, injection::left(SocketCall::Accept)), (times, 0), "{error:?}");
        assert!(
            elapsed >= min_elapsed && elapsed < min_elapsed + Duration::from_millis(500),
            "{error:?}: {elapsed:?}"
        );
    }
}

#[test]
fn try_accept_distinguishes_lost_shortage_connection_and_empty() {
    let (listener, address) = loopback_listener();
    let _client = TcpStream::connect(address).unwrap();
    injection::fail(SocketCall::Accept, Errno::CONNABORTED, 1);
    injection::fail(SocketCall::Accept, Errno::MFILE, 1);
    assert!(matches!(listener.try_accept(), TryAccept::Lost(_)));
    assert!(matches!(listener.try_accept(), TryAccept::Shortage(_)));
    assert!(matches!(listener.try_accept(), TryAccept::Connection(_)));
    assert!(matches!(listener.try_accept(), TryAccept::Empty));
}

#[test]
fn connect_returns_a_stream_or_the_failed_call_and_its_fault() {
    let (listener, address) = loopback_listener();
    let connect = |address| async_io::block_on(connect(address, Peer::Server));
    // A failure to set TCP_NODELAY does not fail the connection.
    injection::fail(SocketCall::SetNoDelay, Errno::NOBUFS, 1);
    let stream = connect(address).unwrap();
    assert_eq!(injection::left(SocketCall::SetNoDelay), 0);
    assert_eq!(stream.write(b"x").unwrap(), 1);
    assert!(matches!(listener.try_accept(), TryAccept::Connection(_)));
    for (call, error, fault) in [
        (SocketCall::Socket, Errno::MFILE, Fault::Local),
        (SocketCall::Socket, Errno::NOBUFS, Fault::Local),
        (SocketCall::Connect, Errno::ADDRNOTAVAIL, Fault::Local),
        (SocketCall::Connect, Errno::NETUNREACH, Fault::Path),
        (SocketCall::Connect, Errno::CONNREFUSED, Fault::Peer),
    ] {
        injection::fail(call, error, 1);
        let failed = connect(address).err().unwrap();
        assert_eq!((failed.call, failed.fault()), (call, fault), "{failed}");
        assert_eq!(failed.lacks_descriptor(), error == Errno::MFILE);
    }
    // Connecting to a closed port is a peer fault; connecting to a broadcast address is not.
    drop(listener);
    assert_eq!(connect(address).err().unwrap().fault(), Fault::Peer);
    let broadcast = SocketAddr::from(([127, 255, 255, 255], 9));
    assert_ne!(connect(broadcast).err().unwrap().fault(), Fault::Peer);
}

/// Guards against clients that are taken for gone, and lose their requests, for lack of memory (incident 3dbf5d).
#[test]
fn shortage_of_memory_is_waited_out_and_ends_no_connection() {
    let (listener, address) = loopback_listener();
    let stream = async_io::block_on(connect(address, Peer::Server)).unwrap();
    let TryAccept::Connection(peer) = listener.try_accept() else { panic!("no connection") };
    for error in [Errno::NOMEM, Errno::NOBUFS] {
        injection::fail(SocketCall::Write, error, 2);
        injection::fail(SocketCall::Read, error, 1);
        let mut buffer = [0; 8];
        let started = Instant::now();
        async_io::block_on(stream.write_all(b"whole")).unwrap();
        assert_eq!(async_io::block_on(peer.read_some(&mut buffer)).unwrap(), 5);
        assert!(started.elapsed() >= Duration::from_millis(15), "{error:?}: no pause");
    }
    injection::fail(SocketCall::Read, Errno::CONNRESET, 1);
    assert!(async_io::block_on(peer.read_some(&mut [0; 8])).is_err());
}

#[test]
fn path_failure_counts_against_an_endpoint_only_if_others_were_reached() {
    let [a, b, c] = [1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let mut reachability = Reachability::default();
    // If no endpoint is reached, no failure counts against an endpoint.
    for endpoint in [a, b, a, b, a, c] {
        assert!(!reachability.failed(endpoint));
    }
    reachability.reached(b);
    assert!(reachability.failed(a) && reachability.failed(c), "another endpoint was reached in between");
    assert!(!reachability.failed(b), "first failure since b was reached");
    reachability.reached(a);
    assert!(!reachability.failed(a), "first failure since a was reached");
    for port in 0..=u16::MAX {
        reachability.failed(SocketAddr::from(([127, 0, 0, 2], port)));
    }
    assert!(!reachability.failed(c), "c is forgotten once too many endpoints are tracked");
}
