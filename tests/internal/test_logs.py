"""Logs are JSON lines, and a reader that stalls does not block the process."""

import json
import logging
import os

from cactusmill.internal.logs import NonBlockingHandler, _JsonFormatter


def logger_to(descriptor):
    handler = NonBlockingHandler(descriptor, lambda line: os.write(descriptor, line))
    handler.setFormatter(_JsonFormatter())
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler


def test_lines_contain_the_fields_of_their_event():
    reader, writer = os.pipe()
    logger, _ = logger_to(writer)
    logger.info("request", extra={"fields": {"request_id": "r-1", "took_s": 0.5}})
    line = json.loads(os.read(reader, 10_000))
    assert line["event"] == "request" and line["request_id"] == "r-1"


def test_full_pipe_drops_and_counts_lines_without_blocking():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    logger, handler = logger_to(writer)
    for number in range(5_000):
        logger.info("request", extra={"fields": {"number": number}})
    assert handler.dropped > 0
    while True:
        try:
            os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    dropped = handler.dropped
    logger.info("request", extra={"fields": {}})
    assert json.loads(os.read(reader, 10_000))["dropped_lines"] == dropped


def test_line_that_could_block_is_replaced_by_a_warning():
    reader, writer = os.pipe()
    logger, _ = logger_to(writer)
    logger.info("request", extra={"fields": {"detail": "x" * 10_000}})
    assert json.loads(os.read(reader, 10_000))["event"] == "line_too_long"


def test_line_that_cannot_be_written_is_dropped_and_ends_nothing():
    """Guards against the end of the process when its log has no reader any more."""
    reader, writer = os.pipe()
    logger, handler = logger_to(writer)
    logger.info("request", extra={"fields": {"number": 10**5000}})
    logger.info("request", extra={"fields": {"object": object()}})
    assert handler.dropped == 2
    logger.info("request", extra={"fields": {}})
    assert json.loads(os.read(reader, 10_000))["dropped_lines"] == 2
    os.close(reader)
    logger.info("request", extra={"fields": {}})
    logger.info("request", extra={"fields": {}})
    assert handler.dropped == 2
