"""Name the errors of calls, so that every caller catches the same ones."""

from grpclib.exceptions import GRPCError, StreamTerminatedError

#: What a gRPC call raises when its answer does not come.
CALL_ERRORS = (OSError, TimeoutError, GRPCError, StreamTerminatedError)
