use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response};
use model::VmName;

use crate::body_sender::send_all;
use crate::head_reader::read_message;
use crate::hello_message::{HelloAnswer, HelloMessage, NONCE_BYTES};
use crate::{FleetSecret, LinkError, WIRE_VERSION, decode, encode};

/// The largest message accepted on a connection that isn't authenticated yet, in bytes.
pub(crate) const MAX_UNAUTHENTICATED_BYTES: u32 = 4 * 1024;

/// Authenticates the peer of a connection by challenge and response, one stream at a time.
pub(crate) struct PeerAuthenticator<'s> {
    secret: &'s FleetSecret,
    state: AuthenticationState,
}

/// How far the authentication of the peer has come.
enum AuthenticationState {
    Unknown,
    Challenged {
        vm: VmName,
        theirs: [u8; NONCE_BYTES],
        ours: [u8; NONCE_BYTES],
    },
    Authenticated(VmName),
}

impl<'s> PeerAuthenticator<'s> {
    pub(crate) const fn new(secret: &'s FleetSecret) -> Self {
        Self {
            secret,
            state: AuthenticationState::Unknown,
        }
    }

    /// Returns the VM of the peer, once it is authenticated.
    pub(crate) const fn authenticated(&self) -> Option<&VmName> {
        match &self.state {
            AuthenticationState::Authenticated(vm) => Some(vm),
            _ => None,
        }
    }

    /// Answers a stream of a connection that isn't authenticated yet.
    pub(crate) async fn serve(
        &mut self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let (parts, body) = request.into_parts();
        let answer = match parts.uri.path() {
            "/hello" => self.answer_hello(body).await,
            "/prove" => self.receive_proof(body).await,
            _ => Err(LinkError::Unauthenticated),
        };
        let sent = match answer {
            Ok(answer) => send_answer(&mut respond, answer).await,
            Err(error) => Err(error),
        };
        match sent {
            Ok(()) => {}
            Err(LinkError::Unauthenticated) => respond.send_reset(Reason::REFUSED_STREAM),
            Err(_) => respond.send_reset(Reason::PROTOCOL_ERROR),
        }
    }

    async fn answer_hello(&mut self, mut body: RecvStream) -> Result<Bytes, LinkError> {
        let hello = read_message(&mut body, MAX_UNAUTHENTICATED_BYTES as usize).await?;
        let hello: HelloMessage = decode(&hello)?;
        let nonce: [u8; NONCE_BYTES] = rand::random();
        let answer = HelloAnswer {
            version: WIRE_VERSION,
            nonce,
            proof: self.secret.proof("server", &[&hello.nonce, &nonce]),
        };
        if hello.version == WIRE_VERSION {
            self.state = AuthenticationState::Challenged {
                vm: hello.vm,
                theirs: hello.nonce,
                ours: nonce,
            };
        }
        Ok(encode(&answer)?.into())
    }

    async fn receive_proof(&mut self, mut body: RecvStream) -> Result<Bytes, LinkError> {
        let proof = read_message(&mut body, MAX_UNAUTHENTICATED_BYTES as usize).await?;
        let state = std::mem::replace(&mut self.state, AuthenticationState::Unknown);
        let AuthenticationState::Challenged { vm, theirs, ours } = state else {
            return Err(LinkError::Unauthenticated);
        };
        let parts: [&[u8]; 3] = [&ours, &theirs, vm.as_str().as_bytes()];
        if !self.secret.verify_proof("client", &parts, &proof) {
            return Err(LinkError::Unauthenticated);
        }
        self.state = AuthenticationState::Authenticated(vm);
        Ok(Bytes::new())
    }
}

/// Sends an answer that consists of one message.
pub(crate) async fn send_answer(
    respond: &mut SendResponse<Bytes>,
    message: Bytes,
) -> Result<(), LinkError> {
    let sent = respond.send_response(Response::new(()), false);
    let mut stream = sent.map_err(LinkError::Broken)?;
    if send_all(&mut stream, message).await.is_ok() {
        let _ = stream.send_data(Bytes::new(), true);
    }
    Ok(())
}
